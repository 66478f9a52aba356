package crowd

import (
	"bytes"
	"fmt"
	"strings"
)

// headerMark stands in the forms of Responses for the fields by which a response names its request, with the line breaks after them.
const headerMark = "{headers}"

// Sizes of responses, in bytes. They lie just below what a VM reads of a head, of an event, and of a whole response before it passes it on.
const (
	nearlyLongHead  = 64_000
	nearlyLongEvent = 1_000_000
	nearlyWhole     = 500_000
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\n" + headerMark + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\n" + headerMark + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	wholeHead   = "HTTP/1.1 200 OK\r\n" + headerMark + "\r\n"
)

// LongHeads are forms of replicas whose responses have heads without an end or long ones.
func LongHeads() map[string]Form {
	fields := smallFields(nearlyLongHead)
	small := "HTTP/1.1 200 OK\r\n" + headerMark + string(fields)
	interim := "HTTP/1.1 103 Early Hints\r\n" + string(fields) + "\r\n"
	return map[string]Form{
		"header lines without an end":   {Start: []byte("HTTP/1.1 200 OK\r\n"), Part: repeated("X-Filler: 0123456789\r\n")},
		"status line without an end":    {Start: []byte("HTTP/1.1 200 "), Part: repeated("x")},
		"small fields then slowly":      {Start: []byte(small), Drip: []byte("a:\r\n")},
		"small fields and no body":      {Start: []byte(small + "Content-Length: 1000\r\n\r\n")},
		"interim responses":             {Part: repeated("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")},
		"interim responses with fields": {Part: []byte(interim)},
		"other responses with fields":   {Part: []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + string(fields) + "\r\nold")},
	}
}

// Events are forms of replicas whose streams have no end, or events that don't.
func Events() map[string]Form {
	return map[string]Form{
		"event without an end":        {Start: []byte(streamHead), Part: repeated("data: 0123456789\n")},
		"line without an end":         {Start: []byte(streamHead + "data: "), Part: repeated("x")},
		"long event then slowly":      {Start: []byte(streamHead + "data: "), Part: repeated("x"), Limit: nearlyLongEvent, Drip: []byte("x")},
		"comments":                    {Start: []byte(streamHead), Part: repeated(": 0123456789\n\n")},
		"chunk extensions":            {Start: []byte(chunkedHead), Part: repeated("1;" + strings.Repeat("x", 1000) + "\r\n\n\r\n")},
		"trailers":                    {Start: []byte(chunkedHead + "0\r\n"), Part: repeated("X-Filler: 0123456789\r\n")},
		"small trailers":              {Start: []byte(chunkedHead + "0\r\n"), Part: smallFields(longHead)},
		"long events without an end":  {Start: []byte(streamHead), Part: longEvent()},
		"bytes after a whole stream":  {Start: []byte(chunkedHead + "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"), Part: repeated("x")},
		"small fields then an event":  {Start: append([]byte("HTTP/1.1 200 OK\r\n"+headerMark+"Content-Type: text/event-stream\r\n"), append(smallFields(nearlyLongHead-1000), "\r\ndata: "...)...), Part: repeated("x"), Limit: nearlyLongEvent, Drip: []byte("x")},
		"events then one then slowly": {Start: []byte(streamHead + "id: 1\ndata: one\n\ndata: "), Part: repeated("x"), Limit: nearlyLongEvent, Drip: []byte("x")},
	}
}

// longEvent is one event without an id, nearly as long as a VM passes on.
func longEvent() []byte {
	return bytes.Join([][]byte{[]byte("data: "), bytes.Repeat([]byte("x"), nearlyLongEvent), []byte("\n\n")}, nil)
}

// Wholes are forms of replicas whose responses are no streams.
func Wholes() map[string]Form {
	return map[string]Form{
		"body until the close":      {Start: []byte(wholeHead), Part: repeated("x")},
		"long body then slowly":     {Start: []byte(wholeHead), Part: repeated("x"), Limit: nearlyWhole, Drip: []byte("x")},
		"body with a length":        {Start: []byte("HTTP/1.1 200 OK\r\n" + headerMark + "Content-Length: 1000000000\r\n\r\n"), Part: repeated("x")},
		"chunks of a byte":          {Start: []byte("HTTP/1.1 200 OK\r\n" + headerMark + "Transfer-Encoding: chunked\r\n\r\n"), Part: repeated("1\r\nx\r\n")},
		"trailers of whole":         {Start: []byte("HTTP/1.1 200 OK\r\n" + headerMark + "Transfer-Encoding: chunked\r\n\r\n0\r\n"), Part: smallFields(longHead)},
		"bytes after a whole":       {Start: []byte("HTTP/1.1 200 OK\r\n" + headerMark + "Content-Length: 4\r\n\r\nfine"), Part: repeated("x")},
		"small fields before parts": {Start: append([]byte("HTTP/1.1 200 OK\r\n"+headerMark), append(smallFields(nearlyLongHead-1000), "\r\n"...)...), Part: repeated("x")},
	}
}

// answering returns the form as the response to the request with the given id.
func (f Form) answering(id string) Form {
	fields := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: sig\r\n", id)
	f.Start = bytes.ReplaceAll(f.Start, []byte(headerMark), []byte(fields))
	return f
}
