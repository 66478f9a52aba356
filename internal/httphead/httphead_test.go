package httphead

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// TestCheck checks heads that net/http reads, sound and malformed ones.
func TestCheck(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nX-Odd: a b\r\n":                  nil,
		"HTTP/1.0 200 OK\r\n":                                nil,
		"HTTP/1.1 100 \r\n":                                  nil,
		"HTTP/1.1 599 \r\nX_odd!#$%&'*+.^`|~9: 1\r\n":        nil,
		"HTTP/1.1 101 Switching Protocols\r\n":               ErrStatus,
		"HTTP/1.1 099 \r\n":                                  ErrStatus,
		"HTTP/1.1 +20 \r\n":                                  ErrStatus,
		"HTTP/1.1 600 \r\n":                                  ErrStatus,
		"HTTP/2.0 200 OK\r\n":                                ErrVersion,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n":                    ErrFieldName,
		"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n":                   ErrFieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n": ErrFieldName,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(resp); !errors.Is(err, want) || want == nil && err != nil {
			t.Errorf("%q: got %v, want %v", head, err, want)
		}
	}
}

// BenchmarkCheck checks the head of a usual response.
func BenchmarkCheck(b *testing.B) {
	resp := &http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{}}
	for _, name := range []string{"Content-Type", "Content-Length", "Date", "Keep-Alive", "X-Request-Id", "X-Response-Signature", "X-Instance-Id", "Server-Limit"} {
		resp.Header.Set(name, "1")
	}
	for b.Loop() {
		if err := Check(resp); err != nil {
			b.Fatal(err)
		}
	}
}
