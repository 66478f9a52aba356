package clock

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// allowedFiles lists the files and directories that may call time.Now, Since and Until, with the
// reason. All others decide how long to trust a heartbeat, a lease or other information, or return
// times that such decisions use.
var allowedFiles = map[string]string{
	"clock/":               "this clock itself",
	"lab/":                 "simulated components, not VMs of the product",
	"soak/":                "the soak test runs outside of the VMs",
	"yardstick/":           "measurements",
	"capacity/":            "measurements",
	"hlc/hlc.go":           "other processes compare it: wall time",
	"claims/claims.go":     "idempotency keys of callers carry wall time",
	"services/services.go": "idempotency keys of callers carry wall time; deadlines of contexts are on the clock of timers",
	"engine/engine.go":     "deadlines of contexts are on the clock of timers",
	"gateway/answers.go":   "deadlines of connections are on the clock of timers",
	"gateway/gateway.go":   "deadlines of connections are on the clock of timers",
	"forward/deliver.go":   "deadlines of connections are on the clock of timers",
	"forward/body.go":      "deadlines of connections are on the clock of timers",
	"ingress/conn.go":      "deadlines of connections are on the clock of timers",
	"ingress/drain.go":     "ages of connections are on the clock of timers",
	"ingress/listener.go":  "ages of writes are on the clock of timers",
	"ingress/peers.go":     "ages of connections are on the clock of timers",
	"gateway/body.go":      "deadlines of connections are on the clock of timers",
	"links/probation.go":   "deadlines of connections are on the clock of timers",
	"daemon/probing.go":    "peers compare it: wall time",
	"daemon/daemon.go":     "peers compare it: wall time identifies this start of the process",
	"news/news.go":         "peers compare it: wall time identifies this start of the process",
	"news/demand.go":       "wall time aligns the rounds of all VMs; nothing expires by it",
}

var timeCalls = regexp.MustCompile(`\btime\.(Now|Since|Until)\b`)

// TestSourcesUsePackageClock reads the sources for uses of time.Now, Since and Until: an age or
// deadline computed with them does not count suspensions, so the thing it limits is trusted for
// too long.
func TestSourcesUsePackageClock(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		name, _ := strings.CutPrefix(filepath.ToSlash(path), "../")
		for allowed := range allowedFiles {
			if name == allowed || strings.HasSuffix(allowed, "/") && strings.HasPrefix(name, allowed) {
				return nil
			}
		}
		return checkFile(t, path)
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkFile(t *testing.T, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		code, _, _ := strings.Cut(lines.Text(), "//")
		if timeCalls.MatchString(code) {
			t.Errorf("%s:%d: %s: use package clock, or give the reason in allowedFiles", path, n, strings.TrimSpace(code))
		}
	}
	return lines.Err()
}
