package ingress

import "golang.org/x/sys/unix"

// Shares of a process's descriptors, and bounds.
const (
	callerShare = 3.0 / 8
	peerShare   = 1.0 / 8
	// maxOperators bounds the connections of a listener for operators or for readiness checks.
	maxOperators = 32
	// kernelShare is the fraction of a process's memory for what the kernel has received on callers' connections and nobody has read.
	kernelShare = 0.1
	// peerMemoryShare is the fraction of a process's memory for connections of peers, and peerBytes the cost of one, in bytes: its goroutines
	// and buffers.
	peerMemoryShare = 1.0 / 8
	peerBytes       = 48 << 10
	// usualDescriptors is the number of descriptors of a process that has no bound of its own.
	usualDescriptors = 4096
	// OperatorMemory is the memory for the connections of such a listener, in bytes.
	OperatorMemory = 4 << 20
)

// Descriptors divides the descriptors of a process among its listeners. What is left is for connections to replicas (one for each call
// under way), to the store and to peers, and for files.
type Descriptors struct {
	Callers   int
	Peers     int
	Operators int // of each listener
}

// DivideDescriptors divides the descriptors of a process. Zero: as many as it may open.
func DivideDescriptors(total int) Descriptors {
	if total <= 0 {
		total = processDescriptors()
	}
	return Descriptors{
		Callers:   max(int(float64(total)*callerShare), 1),
		Peers:     max(int(float64(total)*peerShare), 1),
		Operators: max(min(total/8, maxOperators), 1),
	}
}

// processDescriptors returns how many descriptors this process may open.
func processDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return usualDescriptors
	}
	return int(limit.Cur)
}

// MaxCallers returns how many connections of callers a process may have, by its memory in bytes and its descriptors.
func MaxCallers(memory int64, d Descriptors) int {
	byMemory := int(float64(memory) * kernelShare / ReceiveBuffer)
	return max(min(d.Callers, byMemory), 1)
}

// MaxPeers returns how many connections of peers a process may have, by its memory in bytes and its descriptors.
func MaxPeers(memory int64, d Descriptors) int {
	byMemory := int(float64(memory) * peerMemoryShare / peerBytes)
	return max(min(d.Peers, byMemory), 1)
}
