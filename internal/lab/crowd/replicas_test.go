package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

const (
	// spoiltCalls is the number of callers whose calls go to spoilt replicas, fewer than a VM of crowdMemoryMB bears, and spoiltReplicas the number of those.
	spoiltCalls    = 200
	spoiltReplicas = 8
	// gatherTime is the time that a spoilt replica waits before it sends, so that many calls are under way when it does.
	gatherTime = 300 * time.Millisecond
	// spoiltSendBuffer is the kernel's send buffer of a spoilt replica's connection, in bytes.
	spoiltSendBuffer = 32 << 10
)

const (
	streamPath = "/note/"
	wholePath  = "/look/"
)

// spoilt is a set of replicas that respond with a form.
type spoilt struct {
	form      Form
	now, most atomic.Int64 // calls under way at the replicas
}

// startSpoilt starts a VM whose calls to streamPath and wholePath go to replicas that respond with a form.
func startSpoilt(t *testing.T, f Form) (*vm, *spoilt) {
	t.Helper()
	route := func(name, path, kind string) map[string]any {
		return map[string]any{"name": name, "host": edgeHost, "pathPrefix": path, "kind": kind, "timeoutMs": 10_000, "targetLatencyMs": 5_000, "gapAimMs": 5_000, "service": name, "maxAttempts": 2, "resumable": kind == "streaming"}
	}
	store, ledger := newEdgeStore(t, route("note", streamPath, "streaming"), route("look", wholePath, "idempotent")), &platformlab.Ledger{}
	s := &spoilt{form: f}
	for _, service := range []string{"note", "look"} {
		for i := range spoiltReplicas {
			r := &platformlab.Replica{ID: fmt.Sprint("i-", service, i), Service: service, Zone: "z1", Room: &platformlab.Room{Slots: spoiltCalls}}
			r.SetHandler(s.respond)
			if err := r.Start(store, ledger, ""); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Crash)
		}
	}
	v := &vm{t: t, listen: loopback.Addr(), ready: loopback.Addr(), peers: loopback.Addr(), admin: loopback.Addr()}
	v.ordinary = func(ctx context.Context) string { return ordinaryCall(ctx, v.listen, string(ids.NewRequest())) }
	v.start(v.edgeSettings(store, crowdMemoryMB), manyDescriptors, "http://"+v.ready+"/threadwall/ready")
	return v, s
}

// respond sends the form until the VM closes the connection.
func (s *spoilt) respond(w http.ResponseWriter, req *http.Request) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	now := s.now.Add(1)
	defer s.now.Add(-1)
	for most := s.most.Load(); now > most && !s.most.CompareAndSwap(most, now); most = s.most.Load() {
	}
	_ = c.(*net.TCPConn).SetWriteBuffer(spoiltSendBuffer) // on failure the kernel's default applies
	time.Sleep(gatherTime)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	f := s.form.answering(req.Header.Get("X-Request-Id"))
	err = f.send(c)
	for i := 0; err == nil && len(f.Drip) > 0; i++ {
		select {
		case <-closed:
			return true
		case <-time.After(dripInterval):
			_, err = c.Write(f.Drip[i%len(f.Drip):][:1])
		}
	}
	if err == nil {
		<-closed
	}
	return true
}

// spoiltCaller is a caller of spoilt replicas, on a new connection for each call.
func spoiltCaller(path string, unread bool) Form {
	return Form{Unread: unread, Fresh: func() []byte {
		call := platformlab.Call{ID: string(ids.NewRequest()), Key: edgeKey, Deadline: 10 * time.Second}
		target := Target{Host: edgeHost, Path: path, Body: edgeBody, Head: append(call.Fields(), "Connection: close")}
		return []byte(target.whole())
	}}
}

// endureReplicas has callers at a VM whose calls go to spoilt replicas, and checks that the VM lives, stays within its memory, and answers
// ordinary callers meanwhile and afterwards.
func endureReplicas(t *testing.T, f Form, caller Form) {
	t.Helper()
	v, s := startSpoilt(t, f)
	endureSpoilt(t, v, s, caller, spoiltCalls, crowdMemoryMB)
}

// endureSpoilt does the same at a VM that runs already and has the given memory.
func endureSpoilt(t *testing.T, v *vm, s *spoilt, caller Form, calls, memoryMB int) {
	t.Helper()
	if wrong := v.ordinary(t.Context()); wrong != "" {
		t.Fatalf("an ordinary call before the crowd: %s", wrong)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		v.watch(ctx)
	}()
	c := Start(ctx, v.listen, caller, calls)
	beside := ""
	for began := time.Now(); beside == "" && time.Since(began) < crowdTime; pause(ctx, 20*time.Millisecond) {
		beside = v.insist(ctx)
	}
	c.End()
	after := v.insist(ctx)
	stop()
	<-watched
	t.Logf("%d calls at the spoilt replicas at once, of %d: most memory %d MiB (%d of it anonymous)", s.most.Load(), c.Opened(), v.most.memory>>20, v.most.anonymous>>20)
	if !v.alive() {
		t.Fatalf("the process has ended:\n%s", v.logs())
	}
	if beside != "" {
		t.Errorf("an ordinary call beside the spoilt ones: %s", beside)
	}
	if after != "" {
		t.Errorf("an ordinary call after the spoilt ones: %s", after)
	}
	if most := v.most.memory; most > int64(memoryMB)<<20 {
		t.Errorf("the VM held %d MiB, it has %d", most>>20, memoryMB)
	}
}

// TestManyHeadsWithoutAnEnd has the replicas of many calls send heads without an end, or long ones, at the same moment: their sum stays within the VM's memory.
func TestManyHeadsWithoutAnEnd(t *testing.T) {
	each(t, LongHeads(), func(t *testing.T, f Form) { endureReplicas(t, f, spoiltCaller(streamPath, false)) })
}

// TestManyStreamsWithoutAnEnd does the same with streams of which nothing can be passed on.
func TestManyStreamsWithoutAnEnd(t *testing.T) {
	each(t, Events(), func(t *testing.T, f Form) { endureReplicas(t, f, spoiltCaller(streamPath, false)) })
}

// TestManyResponsesWithoutAnEnd does the same with responses that are no streams.
func TestManyResponsesWithoutAnEnd(t *testing.T) {
	each(t, Wholes(), func(t *testing.T, f Form) { endureReplicas(t, f, spoiltCaller(wholePath, false)) })
}

// TestManyResponsesWithoutAnEndUnread does the same with callers that don't read.
func TestManyResponsesWithoutAnEndUnread(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		endureReplicas(t, Events()["long events without an end"], spoiltCaller(streamPath, true))
	})
	t.Run("whole", func(t *testing.T) {
		endureReplicas(t, Wholes()["body until the close"], spoiltCaller(wholePath, true))
	})
}

// TestLargestResponsesInCalm has a few callers get the largest responses that replicas may send: each arrives whole.
func TestLargestResponsesInCalm(t *testing.T) {
	event, body := string(longEvent()), strings.Repeat("x", 2_000_000)
	framed := func(fields, body string) Form {
		return Form{Start: []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n"+headerMark+"%sContent-Length: %d\r\n\r\n%s", fields, len(body), body))}
	}
	for name, c := range map[string]struct {
		path, body string
		form       Form
	}{
		"events": {streamPath, event + event, framed("Content-Type: text/event-stream\r\n", event+event)},
		"whole":  {wholePath, body, framed("", body)},
		"head":   {wholePath, "fine", framed(string(smallFields(nearlyLongHead)), "fine")},
	} {
		t.Run(name, func(t *testing.T) {
			v, _ := startSpoilt(t, c.form)
			var calls sync.WaitGroup
			for range 3 {
				calls.Go(func() {
					call := platformlab.Call{ID: string(ids.NewRequest()), Host: edgeHost, Path: c.path, Key: edgeKey, Body: edgeBody, Deadline: 10 * time.Second}
					req, err := call.Request(t.Context(), "http://"+v.listen)
					if err != nil {
						t.Error(err)
						return
					}
					if status, got, err := do(req); err != nil || status != http.StatusOK || got != c.body {
						t.Errorf("status %d, %d bytes, error %v; want 200 and %d bytes", status, len(got), err, len(c.body))
					}
				})
			}
			calls.Wait()
		})
	}
}
