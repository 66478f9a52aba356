package links

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/tunnel"
)

// stays waits for probation and returns an error if the connection has ended by then.
func stays(c net.Conn) error {
	if through, ok := c.(*tunnel.Conn); ok {
		time.Sleep(probation)
		if !through.Alive() {
			return tunnel.ErrBroken
		}
		return nil
	}
	_ = c.SetReadDeadline(time.Now().Add(probation))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Join(err, errClosedEarly)
	}
	return nil
}

// probation is how long a probed connection must stay open.
const probation = 30 * time.Millisecond

// errClosedEarly is the error of a probed connection that the target has closed.
var errClosedEarly = eris.New("the connection was closed or carried unexpected bytes before it was used")
