package loopback

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
)

// TestReservedHostIsExclusive checks that a reserved IP cannot be reserved again, that
// reserveHost then goes on to the next IP picked, and that a released IP is available again.
func TestReservedHostIsExclusive(t *testing.T) {
	first, err := reserveHost(randomIP)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reserveHost(func() string { return first.ip }); err == nil {
		t.Fatalf("%s was reserved twice", first.ip)
	}
	candidates := []string{first.ip, first.ip}
	second, err := reserveHost(func() string {
		if len(candidates) == 0 {
			return randomIP()
		}
		ip := candidates[0]
		candidates = candidates[1:]
		return ip
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.lock.Close() }()
	if second.ip == first.ip || len(candidates) > 0 {
		t.Fatalf("reserved %s and %s, want another IP after two attempts", first.ip, second.ip)
	}
	_ = first.lock.Close()
	again, err := reserveHost(func() string { return first.ip })
	if err != nil {
		t.Fatal(err)
	}
	_ = again.lock.Close()
}

// TestAddressesAreExclusive listens twice on each address by TCP and UDP while other
// listeners take ports that the kernel picks. No address may be in use or handed out twice.
func TestAddressesAreExclusive(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addr := Addr()
		if seen[addr] {
			t.Fatalf("%s was handed out twice", addr)
		}
		seen[addr] = true
		for range 2 {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.ListenPacket("udp", addr)
			if err != nil {
				t.Fatal(err)
			}
			other, err := net.Listen("tcp", ":0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = other.Close() }()
			_, _ = l.Close(), c.Close()
		}
	}
}

// TestPortInUseIsSkipped checks that next skips a port on which a server already listens by
// TCP or UDP, as a server bound to all IPs does. The server of this test listens on the
// reserved IP only, so that it does not disturb other processes.
func TestPortInUseIsSkipped(t *testing.T) {
	for network, listen := range map[string]func(addr string) (io.Closer, error){
		"tcp": func(addr string) (io.Closer, error) { return net.Listen("tcp", addr) },
		"udp": func(addr string) (io.Closer, error) { return net.ListenPacket("udp", addr) },
	} {
		h, err := reserveHost(randomIP)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = h.lock.Close() }()
		if _, ok := h.next(); !ok {
			t.Fatalf("%s has no free port", h.ip)
		}
		server, err := listen(h.addr(firstPort + 1))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		if got, _ := h.next(); got != h.addr(firstPort+2) {
			t.Errorf("%s: got %s, want port %d", network, got, firstPort+2)
		}
	}
}

// TestNextHostWhenPortsExhausted checks that the pool reserves another IP when the ports of
// the first are used up, and keeps the first reserved.
func TestNextHostWhenPortsExhausted(t *testing.T) {
	var s hostPool
	if _, err := s.next(); err != nil {
		t.Fatal(err)
	}
	first := s.all[0]
	first.last = lastPort - 1
	for _, want := range []int{1, 2} {
		if _, err := s.next(); err != nil {
			t.Fatal(err)
		}
		if len(s.all) != want {
			t.Fatalf("%d IPs are reserved, want %d", len(s.all), want)
		}
	}
	if _, err := reserveHost(func() string { return first.ip }); err == nil {
		t.Fatalf("%s was released", first.ip)
	}
	for _, h := range s.all {
		_ = h.lock.Close()
	}
}

// TestPortsBelowEphemeralRange checks the assumption that the kernel assigns no port up to
// lastPort.
func TestPortsBelowEphemeralRange(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var first, last int
	if _, err := fmt.Sscan(string(data), &first, &last); err != nil {
		t.Fatal(err)
	}
	if first <= lastPort {
		t.Errorf("the kernel's ephemeral ports start at %d, want above %d", first, lastPort)
	}
}
