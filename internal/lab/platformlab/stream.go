package platformlab

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// BreakRule selects the streams that a replica breaks off.
type BreakRule struct {
	Every  int  // breaks one stream in Every
	After  int  // number of events that the stream writes first
	Inside bool // breaks it inside the next event
	First  bool // breaks only the first run of a stream, not one that resumes it
	Hang   bool // sends nothing more instead, until the router closes the connection

	streams atomic.Int64
}

// breaks reports whether the next stream is to be broken off. after is the event after which it begins.
func (b *BreakRule) breaks(after int) bool {
	return b != nil && b.Every > 0 && (!b.First || after == 0) && b.streams.Add(1)%int64(b.Every) == 0
}

// software returns the software version of the replica.
func (r *Replica) software() string { return cmp.Or(r.Software, "v1") }

// Event returns the event with number n of a stream, as a replica writes it. software is empty if
// events do not name the version that wrote them.
func Event(n int, request, software string) string {
	if software != "" {
		software = " by " + software
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s%s\n\n", n, n, request, software)
}

// stream writes the events of a stream after the one that the request names.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	breaks, software := r.Break.breaks(after), ""
	if r.NameSoftware {
		software = r.software()
	}
	for n := after + 1; n <= r.Chunks; n++ {
		if !r.silence.await(req.Context()) {
			return
		}
		event := Event(n, req.Header.Get("X-Request-Id"), software)
		if breaks && n == after+1+r.Break.After {
			r.breakOff(w, req, event)
		}
		if _, err := fmt.Fprint(w, event); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
		time.Sleep(r.ChunkInterval)
	}
}

// breakOff ends a stream before the event, or inside it.
func (r *Replica) breakOff(w http.ResponseWriter, req *http.Request, event string) {
	if r.Break.Hang {
		<-req.Context().Done()
	}
	if r.Break.Inside {
		_, _ = fmt.Fprint(w, event[:len(event)/2]) // a write error does not matter before the connection is closed
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
