package lab

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// decode reads a JSON body into the given value. On error it responds with status 400 and
// returns false.
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

// Server is a running HTTP server.
type Server struct {
	Addr string // ip:port
	srv  *http.Server
}

// Serve starts a server on addr. "127.0.0.1:0" takes a free port.
func Serve(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	s := &Server{Addr: l.Addr().String(), srv: &http.Server{Handler: h}}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Close closes the listener and all connections at once, as a crash does.
func (s *Server) Close() { _ = s.srv.Close() }
