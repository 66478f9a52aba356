package edge

import (
	"runtime/metrics"
	"time"
)

// The VM's memory holds the runtime (heap, stacks and what it keeps of garbage), the callers' bodies, which lie outside of it, and what the
// kernel has received and nobody has read. The callers' connections and their heads are a part of the runtime's memory that callers who
// are not known yet can fill, so they have a budget of their own (package ingress). This file divides the memory among them: bodies and
// connections get what the rest of the runtime and the other one leave, and the runtime's own limit follows what bodies hold.

const (
	// memoryInterval is the interval at which the memory is divided anew.
	memoryInterval = 250 * time.Millisecond
	// usableShare is the fraction of the memory for the runtime and bodies together. The rest is for what the kernel holds, and
	// for what is taken between two divisions.
	usableShare = 0.85
	// leastShare is the fraction of the memory that bodies may take whatever the runtime holds, the runtime whatever bodies hold, and
	// connections whatever both hold.
	leastShare = 0.1
	// connectionShare is the fraction of the memory that connections and their heads may take at most.
	connectionShare = 0.25
	// intakeShare is the fraction of the memory for what replicas have sent and nobody has used yet. It is a part of the runtime's, and not
	// kept free: bodies may take it until replicas do.
	intakeShare = 0.125
	// replicaKernelShare is the fraction of the memory for large receive buffers of connections to replicas.
	replicaKernelShare = 0.05
	// heapStep is the change of the runtime's limit below which it stays as it is, in bytes: setting it stops the process for
	// a moment.
	heapStep = 4 << 20
)

// usage is what the VM's memory holds, in bytes.
type usage struct {
	runtime int64 // mapped by the Go runtime and not given back
	answers int64 // part of it: responses in memory
	conns   int64 // part of it: callers' connections and their heads, as they are charged
	bodies  int64
}

// division is how much of the VM's memory its parts may take, in bytes.
type division struct {
	bodies  int64
	conns   int64
	runtime int64
}

// divide divides the memory. answers is what responses may take at most: what they don't take yet is kept for them.
func divide(memory, answers int64, u usage) division {
	usable := int64(float64(memory) * usableShare)
	least := int64(float64(memory) * leastShare)
	bodies := max(usable-u.runtime-max(answers-u.answers, 0), least)
	conns := max(usable-max(u.runtime-u.conns, 0)-max(answers-u.answers, 0)-u.bodies, least)
	return division{
		bodies: bodies, conns: min(conns, int64(float64(memory)*connectionShare)), runtime: max(usable-max(u.bodies, least), least),
	}
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
		to := divide(memory, f.Tuning.MaxResponseMemory, usage{
			runtime: read(), answers: f.ResponseBytes(), conns: d.connections.Used(), bodies: f.Bodies.Held(),
		})
		f.Bodies.SetLimit(to.bodies)
		d.connections.SetLimit(to.conns)
		if change := to.runtime - heap; d.options.LimitHeap != nil && (change >= heapStep || -change >= heapStep) {
			heap = to.runtime
			d.options.LimitHeap(heap)
		}
	}
	divideNow()
	return divideNow
}
