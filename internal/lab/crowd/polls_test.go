package crowd

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

const (
	// spoiltEngines is the number of engines whose feeds a VM reads at the same time, fewer than it reads at most.
	spoiltEngines = 100
	// pollTime is how long a VM reads them: two reads of each feed, and a pause between them.
	pollTime = 5 * time.Second
	// nearlyLongFeed lies just below what a VM reads of a feed, in bytes.
	nearlyLongFeed = 2_000_000
)

// Polled are forms of engines that respond to a poll with bytes without an end, or that stop.
func Polled() map[string]Form {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	fields := smallFields(nearlyLongHead)
	return map[string]Form{
		"small fields then slowly":      {Start: append([]byte("HTTP/1.1 200 OK\r\n"), fields...), Drip: []byte("a:\r\n")},
		"interim responses with fields": {Part: append(append([]byte("HTTP/1.1 103 Early Hints\r\n"), fields...), "\r\n"...)},
		"white space without an end":    {Start: []byte(head), Part: repeated(" ")},
		"long body then slowly":         {Start: []byte(head), Part: repeated("x"), Limit: nearlyLongFeed, Drip: []byte("x")},
		"empty events":                  {Start: []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(emptyEvents()))), Part: emptyEvents(), Limit: len(emptyEvents())},
	}
}

// emptyEvents is a feed of many events that say nothing, nearly as long as a VM reads.
func emptyEvents() []byte {
	events := bytes.Repeat([]byte("[],"), nearlyLongFeed/len("[],"))
	return bytes.Join([][]byte{[]byte(`{"epoch":1,"next":1,"events":[`), events, []byte("[]]}")}, nil)
}

// TestManyPollsWithoutAnEnd has all engines respond to the polls of their feeds with bytes without an end, or long ones, at the same time: the VM
// stays within its memory and answers ordinary calls.
func TestManyPollsWithoutAnEnd(t *testing.T) {
	each(t, Polled(), func(t *testing.T, f Form) {
		store, ledger := newEdgeStore(t, map[string]any{"name": "note", "host": edgeHost, "pathPrefix": streamPath, "kind": "streaming", "timeoutMs": 10_000, "targetLatencyMs": 5_000, "gapAimMs": 5_000, "service": "llm", "maxAttempts": 2, "sticky": true}), &platformlab.Ledger{}
		store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
		s := &spoilt{form: f}
		v := &vm{t: t, listen: loopback.Addr(), ready: loopback.Addr(), peers: loopback.Addr(), admin: loopback.Addr()}
		v.start(v.edgeSettings(store, crowdMemoryMB), manyDescriptors, "http://"+v.ready+"/threadwall/ready")
		v.ordinary = func(ctx context.Context) string { return ordinaryCall(ctx, v.listen, string(ids.NewRequest())) }
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			v.watch(ctx)
		}()
		for i := range spoiltEngines {
			r := &platformlab.Replica{ID: fmt.Sprint("i-e", i), Service: "llm", Zone: "z1", Model: "m", OnPoll: s.respond}
			if err := r.Start(store, ledger, ""); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Crash)
		}
		beside := ""
		for began := time.Now(); beside == "" && time.Since(began) < pollTime; pause(ctx, 20*time.Millisecond) {
			beside = v.insist(ctx)
		}
		stop()
		<-watched
		t.Logf("%d polls at once: most memory %d MiB (%d of it anonymous)", s.most.Load(), v.most.memory>>20, v.most.anonymous>>20)
		if !v.alive() {
			t.Fatalf("the process has ended:\n%s", v.logs())
		}
		if s.most.Load() == 0 {
			t.Fatal("no feed was read")
		}
		if beside != "" {
			t.Errorf("an ordinary call beside the polls: %s", beside)
		}
		if most := v.most.memory; most > crowdMemoryMB<<20 {
			t.Errorf("the VM held %d MiB, it has %d", most>>20, crowdMemoryMB)
		}
	})
}
