package lab

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Server is a handler that listens on loopback.
type Server struct {
	Addr string
	srv  *http.Server
}

// Serve starts a handler on addr; "127.0.0.1:0" takes a free port.
func Serve(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	s := &Server{Addr: l.Addr().String(), srv: &http.Server{Handler: h}}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Close ends it at once, as a crash would.
func (s *Server) Close() { _ = s.srv.Close() }
