package lab

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// crashable serves an engine or service that crashes on requests containing crashText.
type crashable struct {
	crashText    string // empty: no request crashes it
	restartDelay time.Duration
	standIns     *StandIns
	start        func(inc ids.Incarnation) http.Handler
}

// serve starts an incarnation at addr.
func (f *crashable) serve(addr string, inc ids.Incarnation) (*Server, error) {
	if f.crashText == "" {
		return Serve(addr, f.start(inc))
	}
	var srv *Server
	ready := make(chan struct{})
	next := f.start(inc)
	srv, err := Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-ready
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller disconnected
		}
		if bytes.Contains(body, []byte(f.crashText)) {
			f.crash(srv)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	}))
	close(ready)
	return srv, err
}

// crash stops an incarnation and starts the next one after restartDelay.
func (f *crashable) crash(srv *Server) {
	f.standIns.mu.Lock()
	f.standIns.crashes = append(f.standIns.crashes, time.Now())
	f.standIns.mu.Unlock()
	srv.Close()
	time.AfterFunc(f.restartDelay, func() {
		// On error the address is in use: two requests crashed the same incarnation, and the
		// next one has started already.
		if restarted, err := f.serve(srv.Addr, ids.Incarnation(time.Now().UnixMilli())); err == nil {
			f.standIns.track(restarted)
		}
	})
}

// Crashes returns the times at which requests crashed engines and services.
func (s *StandIns) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}
