// Package settings reads and validates the daemon's settings: JSON with comments, in
// which every duration has a unit. The daemon reads them before it starts anything.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/ids"
)

// Settings are the settings of one threadwalld. The comment of each field gives its
// effect, unit and default.
type Settings struct {
	// VM is this VM's name. Required.
	VM ids.VM `json:"vm" validate:"required"`
	// FailureDomain is this VM's failure domain. Required.
	FailureDomain ids.FailureDomain `json:"failure_domain" validate:"required"`
	// Listen is the ip:port on which callers connect. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// PeerListen is the ip:port on which other VMs connect. Required.
	PeerListen string `json:"peer_listen" validate:"required,hostname_port"`
	// AdminListen is the ip:port for operators: status, metrics, timeline. Required.
	AdminListen string `json:"admin_listen" validate:"required,hostname_port"`
	// Store is the object API's base URL. Required.
	Store string `json:"store" validate:"required,http_url"`
	// Peers are seed addresses (ip:port) of other VMs of the failure domain,
	// used until the platform's list is known. Default none.
	Peers []string `json:"peers,omitempty" validate:"dive,hostname_port"`
	// StoreTimeout bounds one call of the object API. Default 2s.
	StoreTimeout durations.Duration `json:"store_timeout,omitempty"`
	// StoreWritesPerSecond bounds this VM's writes to the object API. Default 40.
	StoreWritesPerSecond float64 `json:"store_writes_per_second,omitempty" validate:"min=0"`
	// StoreReadsPerSecond bounds this VM's reads of the object API. Default 60.
	StoreReadsPerSecond float64 `json:"store_reads_per_second,omitempty" validate:"min=0"`
	// Heartbeat is the interval at which this VM exchanges state with peers. Default 1s.
	Heartbeat durations.Duration `json:"heartbeat,omitempty"`
	// News is the interval at which this VM sends updates of the cache view and of
	// loads to peers between heartbeats. Default 250ms. A longer one saves bytes and
	// lowers the hit rate.
	News durations.Duration `json:"news,omitempty"`
	// CacheFeed enables reading of the engines' cache events. Default false: if all
	// requests pass through threadwall, responses and peers give the same information
	// (docs/design/routing.md).
	CacheFeed bool `json:"cache_feed,omitempty"`
	// Probe is the interval at which idle targets are probed. Default 1s.
	Probe durations.Duration `json:"probe,omitempty"`
	// IdleTimeout ends a stream on which the target has sent nothing for this long.
	// Default 10s.
	IdleTimeout durations.Duration `json:"idle_timeout,omitempty"`
	// DialTimeout bounds connecting to a target. Default 1s.
	DialTimeout durations.Duration `json:"dial_timeout,omitempty"`
	// ReadyNotice is how long the VM reports "not ready" at shutdown before it stops
	// accepting requests, so that the load balancer notices. Default 2s.
	ReadyNotice durations.Duration `json:"ready_notice,omitempty"`
	// DrainTimeout bounds waiting for requests in flight at shutdown. Default 150s.
	DrainTimeout durations.Duration `json:"drain_timeout,omitempty"`
	// MaxBodyBytes bounds the body of a request, in bytes. Default 4194304.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"min=0"`
	// MaxHeadBytes bounds the head of a request, in bytes: its request line and fields. Default 65536. With
	// the section edge, the platform's configuration bounds it.
	MaxHeadBytes int `json:"max_head_bytes,omitempty" validate:"min=0"`
	// MaxDescriptors is the number of descriptors that the process may open. Three eighths of them are
	// for callers' connections, an eighth for those of peers. Default: the process's own limit.
	MaxDescriptors int `json:"max_descriptors,omitempty" validate:"min=0"`
	// MemoryMB is the memory that the process may use, in MB. Default 256. With the section edge, its
	// memory_mb takes its place.
	MemoryMB int64 `json:"memory_mb,omitempty" validate:"min=0"`
	// MaxInFlight bounds requests in flight on this VM. Default 2048.
	MaxInFlight int `json:"max_in_flight,omitempty" validate:"min=0"`
	// TimelineEvents is how many timeline events are kept in memory. Default 8192.
	TimelineEvents int `json:"timeline_events,omitempty" validate:"min=0,max=1000000"`
	// WeightLoadsPerMinute bounds how many engines of the failure domain per minute are
	// ordered to read from the weight store. Default 6.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute,omitempty" validate:"min=0"`
	// Policy is the policy that selects targets: "cost" or "round-robin". Default "cost".
	Policy string `json:"policy,omitempty" validate:"omitempty,oneof=cost round-robin"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	// Edge makes this VM serve opaque requests for the platform whose metadata store is
	// at Store, instead of threadwall's own API. Default none.
	Edge *Edge `json:"edge,omitempty"`
}

// Load reads and validates the settings of a file and sets the defaults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "settings %s", path)
}

// Parse decodes and validates settings and sets the defaults. The error names all invalid
// fields.
func Parse(data []byte) (Settings, error) {
	var s Settings
	std, err := hujson.Standardize(data)
	if err != nil {
		return s, eris.New(err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, eris.New(err.Error())
	}
	s = s.WithDefaults()
	return s, check(s)
}

func check(s Settings) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.Struct(s)
	var fields validator.ValidationErrors
	if !eris.As(err, &fields) {
		return err
	}
	var parts []string
	for _, f := range fields {
		parts = append(parts, fmt.Sprintf("%s: %v fails %q", f.Field(), f.Value(), f.Tag()))
	}
	return eris.New(strings.Join(parts, "; "))
}

// WithDefaults returns s with every unset field set to its default.
func (s Settings) WithDefaults() Settings {
	for _, d := range []struct {
		field *durations.Duration
		def   time.Duration
	}{
		{&s.StoreTimeout, 2 * time.Second},
		{&s.Heartbeat, time.Second},
		{&s.News, 250 * time.Millisecond},
		{&s.Probe, time.Second},
		{&s.IdleTimeout, 10 * time.Second},
		{&s.DialTimeout, time.Second},
		{&s.ReadyNotice, 2 * time.Second},
		{&s.DrainTimeout, 150 * time.Second},
	} {
		*d.field = durations.Duration(d.field.Or(d.def))
	}
	orDefault(&s.StoreWritesPerSecond, 40)
	orDefault(&s.StoreReadsPerSecond, 60)
	orDefault(&s.MaxBodyBytes, 4<<20)
	orDefault(&s.MaxHeadBytes, 64<<10)
	orDefault(&s.MemoryMB, 256)
	orDefault(&s.MaxInFlight, 2048)
	orDefault(&s.TimelineEvents, 8192)
	orDefault(&s.WeightLoadsPerMinute, 6)
	orDefault(&s.Policy, "cost")
	orDefault(&s.LogLevel, "info")
	if s.Edge != nil {
		e := s.Edge.withDefaults()
		s.Edge = &e
	}
	return s
}

func orDefault[T comparable](field *T, def T) {
	var zero T
	if *field == zero {
		*field = def
	}
}

// Print writes settings as indented JSON.
func Print(w io.Writer, s Settings) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(s), "print settings")
}
