// Package httphead checks the heads of responses. net/http reads some heads that HTTP/1.1 (RFC 9110, RFC 9112) does not allow, and what it
// makes of them is not what the peer has sent.
package httphead

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Errors of malformed heads, possibly wrapped.
var (
	ErrVersion   = eris.New("the response is not of HTTP/1")
	ErrStatus    = eris.New("the status of the response is out of range")
	ErrFieldName = eris.New("a field of the response has a malformed name")
	ErrInterim   = eris.New("more interim responses than allowed")
)

// maxStatus is the highest status that HTTP allows (RFC 9110, 15).
const maxStatus = 599

// Check returns an error if the head of a response is malformed. An interim response is well formed unless it switches protocols, since
// no request asks for that.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return eris.Wrap(ErrVersion, resp.Proto)
	}
	switch status := resp.StatusCode; {
	case status < http.StatusContinue, status > maxStatus, status == http.StatusSwitchingProtocols:
		return eris.Wrap(ErrStatus, resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field is malformed.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrFieldName, "%q", name)
		}
	}
	return nil
}

// Read reads the head of a response to a request with the given method. The body of the response is read from in as well. Read returns an
// error if the head is malformed.
func Read(in *bufio.Reader, method string) (*http.Response, error) {
	if err := checkCoding(in); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Transport returns a transport whose responses have passed Check, interim ones as well. Its errors wrap those of Check. It closes the
// connection of a malformed head, since what follows on it may belong to no request.
func Transport(base http.RoundTripper) http.RoundTripper { return checked{base} }

// maxInterim is the number of interim responses that Transport takes before a response. net/http has no bound of its own where they are checked.
const maxInterim = 5

// checked is a transport that checks the responses of another one.
type checked struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c checked) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	var interim atomic.Int64
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { conn.Store(&got.Conn) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if interim.Add(1) > maxInterim {
				return ErrInterim
			}
			return checkNames(http.Header(h))
		},
	})
	resp, err := c.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		if used := conn.Load(); used != nil {
			_ = (*used).Close()
		}
		return nil, err
	}
	return resp, nil
}
