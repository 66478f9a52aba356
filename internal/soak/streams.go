package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// Streams of engines of several software versions. Each event names the version that wrote it, some streams break off, and
// callers take streams up at other VMs.

const (
	// softwareCount is the number of software versions that serve beside each other.
	softwareCount = 3
	// breakEvery is the number of streams of an engine of which it breaks one off.
	breakEvery = 6
	// maxTakeUps is how often a caller takes one stream up, and takeUpPause the longest pause before that.
	maxTakeUps  = 4
	takeUpPause = 400 * time.Millisecond
	// leastWentOn is the fraction of the streams taken up without a fault that must go on.
	leastWentOn = 0.5
)

// stream is one stream over all calls of its caller.
type stream struct {
	first           string   // id of the call that brought the first event
	versions        []string // that wrote events
	takenUp, wentOn int      // times without a fault
}

// setSoftware sets the software version of an engine, and how its streams break off. The caller holds h.mu.
func (h *harness) setSoftware(r *replica) {
	if !h.versions {
		return
	}
	n := h.replicaNumber
	r.Software, r.NameSoftware = fmt.Sprint("v", 1+n%softwareCount), true
	r.Break = &platformlab.BreakRule{Every: breakEvery, After: 2, Inside: n%2 == 0, First: true}
	r.Bare = n%4 == 0
}

// read reads the body of a response, up to the event after which the caller leaves.
func (k *call) read(body io.Reader) {
	if k.leave == 0 {
		data, err := io.ReadAll(body)
		k.body, k.broken = string(data), err != nil
		return
	}
	var text strings.Builder
	buf := make([]byte, 512)
	for strings.Count(text.String(), "\n\n") < k.leave {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			k.body, k.broken = text.String(), err != io.EOF
			return
		}
	}
	read := text.String()
	k.body, k.broken, k.left = read[:strings.LastIndex(read, "\n\n")+2], true, true
}

// writtenBy matches the part of an event that names the version that wrote it.
var writtenBy = regexp.MustCompile(` by (v[0-9]+)\n`)

// takeVersions removes the names of versions from the body, and returns them and the number of complete events.
func (k *call) takeVersions() (versions []string, events int) {
	events = strings.Count(k.body, "\n\n")
	complete := k.body
	if end := strings.LastIndex(complete, "\n\n"); end >= 0 {
		complete = complete[:end+2]
	}
	for _, m := range writtenBy.FindAllStringSubmatch(complete, -1) {
		if !slices.Contains(versions, m[1]) {
			versions = append(versions, m[1])
		}
	}
	return versions, events
}

// readStream reads one stream, over several calls if the caller leaves or the stream breaks off.
func (c *callers) readStream(rng *rand.Rand, transport *http.Transport, key string) {
	s, last := &stream{}, 0
	for tries := 0; tries <= maxTakeUps; tries++ {
		k := c.send(rng, transport, call{path: pathStream, key: key, resumes: s.first, after: last, leave: drawLeave(rng)})
		versions, events := k.takeVersions()
		if s.first != "" && k.faultFree {
			s.takenUp++
			if events > 0 || !k.broken && k.status == http.StatusOK {
				s.wentOn++
			}
		}
		if s.first == "" && events == 0 {
			return // it has not begun
		}
		if s.first == "" {
			s.first = k.id
			c.addStream(s)
		}
		c.addVersions(s, versions)
		if last += events; last >= c.h.streams.chunks {
			return
		}
		time.Sleep(rand.N(takeUpPause))
	}
}

// drawLeave draws after how many events of a call the caller leaves; zero: it stays.
func drawLeave(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return 0
	}
	return 1 + rng.IntN(3)
}

func (c *callers) addStream(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, s)
}

func (c *callers) addVersions(s *stream, versions []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range versions {
		if !slices.Contains(s.versions, v) {
			s.versions = append(s.versions, v)
		}
	}
}

func (c *callers) allStreams() []*stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.streams)
}

// evaluateStreams checks that each stream holds events of one version, and that streams that are taken up go on.
func (h *harness) evaluateStreams(all []*stream, r *Report) {
	for _, s := range all {
		r.TakenUp += s.takenUp
		r.WentOn += s.wentOn
		if len(s.versions) > 1 && len(r.Violations) < maxViolations {
			r.Violations = append(r.Violations, fmt.Sprintf("stream %s holds events of the versions %v", s.first, s.versions))
		}
	}
	if h.checkTiming && float64(r.WentOn) < leastWentOn*float64(r.TakenUp) {
		r.Violations = append(r.Violations, fmt.Sprintf("%d of %d streams that were taken up went on", r.WentOn, r.TakenUp))
	}
}
