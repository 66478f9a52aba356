package lab

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// fatal serves an engine or service that requests with a certain text crash.
type fatal struct {
	text  string // empty: none does
	rest  time.Duration
	s     *StandIns
	start func(inc ids.Incarnation) http.Handler
}

// serve starts an incarnation.
func (f *fatal) serve(addr string, inc ids.Incarnation) (*Server, error) {
	if f.text == "" {
		return Serve(addr, f.start(inc))
	}
	var srv *Server
	ready := make(chan struct{})
	next := f.start(inc)
	srv, err := Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-ready
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller broke off
		}
		if bytes.Contains(body, []byte(f.text)) {
			f.crash(srv)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	}))
	close(ready)
	return srv, err
}

// crash ends an incarnation and has the next one start later.
func (f *fatal) crash(srv *Server) {
	f.s.mu.Lock()
	f.s.crashes = append(f.s.crashes, time.Now())
	f.s.mu.Unlock()
	srv.Close()
	time.AfterFunc(f.rest, func() {
		if again, err := f.serve(srv.Addr, ids.Incarnation(time.Now().UnixMilli())); err == nil {
			f.s.keep(again) // or it runs there already: two requests crashed it
		}
	})
}

// Crashes returns when engines and services were crashed by a request.
func (s *StandIns) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}
