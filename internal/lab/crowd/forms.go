package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
)

// Form is what a client sends on each of its connections.
type Form struct {
	// Start is sent once, and Part again and again after it until Limit bytes of it are sent; empty: nothing comes after Start.
	Start, Part []byte
	// Fresh, if set, returns what each connection sends in place of Start.
	Fresh func() []byte
	// Limit bounds what is sent of Part, in bytes. Zero: it is sent without an end.
	Limit int
	// End is sent after that, and then Drip, a byte each dripInterval.
	End, Drip []byte
	// Unread states that the client reads no responses.
	Unread bool
}

// Sizes of forms, in bytes.
const (
	// longHead lies far over what callers may send in a head, and below what the server would parse whole.
	longHead = 250_000
	// allowedHead is a head that callers may send where the limit is 16,384 bytes.
	allowedHead = 16_000
	blockBytes  = 16 << 10
)

// Target says how requests to a listener look.
type Target struct {
	Host string
	Path string   // of a call that is served
	Head []string // the other lines of its head
	Body string   // of that call
}

// head returns the request line and the fields of a call, without the empty line at the end.
func (t Target) head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + strings.Join(append(t.Head, ""), "\r\n")
}

// whole returns a whole call that is served.
func (t Target) whole() string {
	return t.head("POST", t.Path) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(t.Body), t.Body)
}

// smallFields returns header fields of 5 to 9 bytes with different names, of about size bytes together.
func smallFields(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.Bytes()
}

func repeated(s string) []byte { return bytes.Repeat([]byte(s), max(1, blockBytes/len(s))) }

// Heads are forms of clients whose heads have no end or are too long.
func Heads(t Target) map[string]Form {
	head := []byte(t.head("POST", t.Path))
	fields := smallFields(longHead)
	long := append(bytes.Clone(head), "X-Long: "...)
	return map[string]Form{
		"empty lines":                      {Part: repeated("\r\n")},
		"request line without an end":      {Start: []byte("GET /"), Part: repeated("x")},
		"field without an end":             {Start: long, Part: repeated("x")},
		"small fields without an end":      {Start: head, Part: fields},
		"long field then slowly":           {Start: long, Part: repeated("x"), Limit: longHead, Drip: []byte("x")},
		"small fields then slowly":         {Start: head, Part: fields, Limit: longHead, Drip: []byte("a:\r\n")},
		"small fields and no body":         {Start: head, Part: fields, Limit: longHead, End: []byte("Content-Length: 10\r\n\r\n")},
		"no HTTP":                          {Part: repeated("\x16\x03\x01\x02")},
		"allowed head byte by byte":        {Start: head, Drip: []byte("X-Slow: 1\r\n")},
		"allowed small fields and no body": {Start: head, Part: smallFields(allowedHead - len(head) - 100), Limit: allowedHead - len(head) - 100, End: []byte("Content-Length: 10\r\n\r\n")},
		"small fields after a first call":  {Start: append([]byte(t.whole()), head...), Part: fields},
	}
}

// Bodies are forms of clients whose heads are whole.
func Bodies(t Target) map[string]Form {
	chunked := []byte(t.head("POST", t.Path) + "Transfer-Encoding: chunked\r\n\r\n")
	return map[string]Form{
		"whole calls and responses not read": {Part: repeated(t.whole()), Unread: true},
		"whole calls pipelined":              {Part: repeated(t.whole())},
		"body in chunks of a byte":           {Start: chunked, Part: repeated("1\r\nx\r\n")},
		"chunk extension without an end":     {Start: append(bytes.Clone(chunked), "1;"...), Part: repeated("x")},
		"trailers without an end":            {Start: append(bytes.Clone(chunked), "0\r\n"...), Part: smallFields(longHead)},
		"body for no route":                  {Start: []byte(t.head("POST", "/nowhere/") + "Content-Length: 1000000\r\n\r\n"), Part: repeated("x")},
		"body over the limit":                {Start: []byte(t.head("POST", t.Path) + "Content-Length: 1000000000\r\n\r\n"), Part: repeated("x")},
		"body that stalls":                   {Start: []byte(t.head("POST", t.Path) + "Content-Length: 100000\r\n\r\n"), Part: repeated("x"), Limit: 60_000, Drip: []byte("x")},
	}
}

// Idle are forms of clients that hold connections and send little.
func Idle(t Target) map[string]Form {
	return map[string]Form{
		"silent":                 {},
		"one call then idle":     {Start: []byte(t.whole())},
		"half a head":            {Start: []byte("POST " + t.Path + " HTTP/1.1\r\nHost: ")},
		"empty line then silent": {Start: []byte("\r\n")},
	}
}

// HTTP/2 frames (RFC 9113, section 6), as far as the forms need them.
const (
	preface           = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaders      = 1
	frameSettings     = 4
	frameContinuation = 9
	// literal is a header field in HPACK (RFC 7541, section 6.2.2), a literal without indexing.
	literal = "\x00\x01a\x01b"
)

func frame(kind byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, 0}
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// HTTP2 are forms of clients of a gRPC server.
func HTTP2() map[string]Form {
	start := append([]byte(preface), frame(frameSettings, 0, nil)...)
	fields := repeated(literal)[:blockBytes/len(literal)*len(literal)]
	headers := append(bytes.Clone(start), frame(frameHeaders, 1, fields)...)
	return map[string]Form{
		"silent":                   {},
		"preface then silent":      {Start: start},
		"no HTTP":                  {Part: repeated("\x16\x03\x01\x02")},
		"settings without an end":  {Start: start, Part: bytes.Repeat(frame(frameSettings, 0, nil), 1000), Unread: true},
		"small fields without end": {Start: headers, Part: frame(frameContinuation, 1, fields)},
	}
}
