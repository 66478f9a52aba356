package ingress

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestDrainAnswersWhatCame begins a drain while clients send one request after the other, half of them two at a time: each request that
// a handler got is answered, and all that came in one go with it.
func TestDrainAnswersWhatCame(t *testing.T) {
	var mu sync.Mutex
	handled := map[string]bool{}
	l := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		handled[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(time.Millisecond)
		_, _ = w.Write([]byte("done"))
	}), Config{})
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for i := range 40 {
		c := dial(t, l)
		clients.Go(func() {
			for n := 0; ; n += 2 {
				paths := []string{fmt.Sprintf("/%d/%d", i, n), fmt.Sprintf("/%d/%d", i, n+1)}[:1+i%2]
				for k, path := range paths {
					paths[k] = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
				}
				all := ""
				for _, p := range paths {
					all += p
				}
				if _, err := c.Write([]byte(all)); err != nil {
					return
				}
				for k := range paths {
					status, _, err := c.response()
					if err != nil {
						if k > 0 {
							t.Error("the second of two requests that came in one go was not answered")
						}
						return
					}
					mu.Lock()
					answered[fmt.Sprintf("/%d/%d", i, n+k)] = status == http.StatusOK
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Fatalf("the drain does not end: %v", err)
	}
	clients.Wait()
	for path := range handled {
		if !answered[path] {
			t.Errorf("%s was handled and not answered", path)
		}
	}
	if len(handled) < 100 {
		t.Errorf("%d requests were handled", len(handled))
	}
}

// TestDrainWaitsForCalls checks what a drain waits for, and that it ends with its context.
func TestDrainWaitsForCalls(t *testing.T) {
	begun, end := make(chan bool, 1), make(chan bool)
	l := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- true
		<-end
	}), Config{})
	c := dial(t, l)
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-begun
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Drain(short); err == nil {
		t.Error("the drain does not wait for a call")
	}
	close(end)
	if status, _, err := c.response(); err != nil || status != http.StatusOK {
		t.Errorf("got %d, %v", status, err)
	}
	if err := l.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}
