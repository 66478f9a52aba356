package edge

import (
	"runtime/metrics"
	"time"
)

// The VM's memory holds the runtime (heap, stacks and what it keeps of garbage), the callers' bodies, which lie outside of it, and what the
// kernel has received and nobody has read. This file divides the memory among them: bodies get what the runtime leaves, and the
// runtime's own limit follows what bodies hold.

const (
	// memoryInterval is the interval at which the memory is divided anew.
	memoryInterval = 250 * time.Millisecond
	// usableShare is the fraction of the memory for the runtime and bodies together. The rest is for what the kernel holds, and
	// for what is taken between two divisions.
	usableShare = 0.85
	// leastShare is the fraction of the memory that bodies may take whatever the runtime holds, and the runtime whatever bodies hold.
	leastShare = 0.1
	// heapStep is the change of the runtime's limit below which it stays as it is, in bytes: setting it stops the process for
	// a moment.
	heapStep = 4 << 20
)

// usage is what the VM's memory holds, in bytes.
type usage struct {
	runtime int64 // mapped by the Go runtime and not given back
	answers int64 // part of it: responses in memory
	bodies  int64
}

// division is how much of the VM's memory its parts may take, in bytes.
type division struct {
	bodies  int64
	runtime int64
}

// divide divides the memory. answers is what responses may take at most: what they don't take yet is kept for them.
func divide(memory, answers int64, u usage) division {
	usable := int64(float64(memory) * usableShare)
	least := int64(float64(memory) * leastShare)
	bodies := max(usable-u.runtime-max(answers-u.answers, 0), least)
	return division{bodies: bodies, runtime: max(usable-max(u.bodies, least), least)}
}

// runtimeMemory returns the memory that the Go runtime has mapped and not given back, in bytes.
func runtimeMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// divideMemory divides the VM's memory by what it holds, and returns a function that does so again.
func (d *Daemon) divideMemory() func() {
	f, memory, read := d.Forward, d.Settings.Edge.MemoryMB<<20, d.options.RuntimeMemory
	if read == nil {
		read = runtimeMemory
	}
	heap := int64(0)
	divideNow := func() {
		to := divide(memory, f.Tuning.MaxResponseMemory, usage{runtime: read(), answers: f.ResponseBytes(), bodies: f.Bodies.Held()})
		f.Bodies.SetLimit(to.bodies)
		if change := to.runtime - heap; d.options.LimitHeap != nil && (change >= heapStep || -change >= heapStep) {
			heap = to.runtime
			d.options.LimitHeap(heap)
		}
	}
	divideNow()
	return divideNow
}
