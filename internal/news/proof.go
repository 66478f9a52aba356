package news

import (
	"encoding/json"
	"net"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// How a proof of freshness travels.
//
// A VM asks at a moment by its own clock, and a peer answers, later, that its version
// was the newest so long before the answer. So on the asking VM's clock that was at
// most the stated age before the question was sent, however long question and answer
// took: a lost or late datagram makes a proof older, never younger.

// maxAsks bounds the questions without an answer that are remembered.
const maxAsks = 16

// AskProof asks some peers how fresh their configuration is.
func (x *Exchange) AskProof(vms []ids.VM) {
	x.mu.Lock()
	x.asked++
	number := x.asked
	if x.asks == nil {
		x.asks = map[uint64]time.Time{}
	}
	delete(x.asks, number-maxAsks)
	x.asks[number] = time.Now()
	var to []Peer
	for _, p := range x.peers {
		for _, vm := range vms {
			if p.VM == vm {
				to = append(to, p)
			}
		}
	}
	x.mu.Unlock()
	x.sendTo(Message{VM: x.VM, Life: x.life, Ask: &Ask{Number: number}}, to)
}

// answer tells a peer how fresh this VM's configuration is.
func (x *Exchange) answer(a Ask, to *net.UDPAddr) {
	p, ok := x.Prove()
	if !ok {
		return
	}
	p.Number = a.Number
	data, err := json.Marshal(Message{VM: x.VM, Life: x.life, Proof: &p})
	if err != nil {
		x.Rejected.Add(1)
		return
	}
	if _, err := x.conn.WriteToUDP(data, to); err != nil {
		x.Rejected.Add(1) // as if the datagram were lost
	}
}

// proven takes in an answer.
func (x *Exchange) proven(p Proof) {
	x.mu.Lock()
	asked, ok := x.asks[p.Number]
	x.mu.Unlock()
	if ok && p.Age >= 0 {
		x.Proven(p, asked)
	}
}
