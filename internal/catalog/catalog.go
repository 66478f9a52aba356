// Package catalog holds what operators declare for opaque requests: routes by
// host and path prefix, services, API keys and limits.
//
// A Catalog is one version of that declaration, immutable and indexed for the
// request path. A request is judged by one Catalog for its whole life. Current
// holds the version in force, which never falls, and the proof of how fresh it
// is: an API key counts only while the proof is young enough.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds. The zero value is the one that promises least.
const (
	// Once marks calls that may run at most once.
	Once Kind = iota
	// Idempotent marks calls that may run again after any failure.
	Idempotent
	// Stream marks answers that are a series of numbered events. They may run at
	// most once, unless the route is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host below a path prefix go.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller is kept waiting; zero: no bound
	Objective   time.Duration // latency within which an answer is on time
	MaxEventGap time.Duration // longest pause between events that is still on time
	Priority    int           // 0 is first
	Split       []Share
	Attempts    int  // replicas that one request may run on
	Public      bool // needs no API key
	Prompts     bool // requests describe a prompt by levels
	Resumable   bool // a stream may go on at another replica behind its last event
}

// Repeatable tells whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of replicas that routes name.
type Service struct {
	Name     string
	MaxConns int // connections that one replica takes from all callers together; zero: not known
	Engine   *Engine
	KVStore  *KVStore
}

// Engine describes the replicas of a service that serve models.
type Engine struct {
	Slots         int   // requests in a batch
	CacheTokens   int64 // memory for the KV cache, in tokens
	FeedReaders   int   // cache feeds that one replica serves at once
	BytesPerToken int64
}

// KVStore is a store that keeps KV cache beside the engines.
type KVStore struct {
	Addr          string
	FailureDomain ids.FailureDomain
	CacheTokens   int64
	FeedReaders   int
}

// Workspace is one tenant.
type Workspace struct {
	Name     ids.Workspace
	Keys     []string
	Priority *int // goes before the route's priority
	Isolated bool // shares no KV cache with other workspaces
	// Allowance is what it may use over all VMs together.
	Allowance Allowance
}

// Allowance is what a workspace may use over all VMs together.
type Allowance struct {
	Rate          float64 // units/s; zero, like Burst: there is no limit
	Burst         float64 // units at once beyond it
	Tokens        bool    // units are tokens; otherwise requests
	DefaultTokens int64   // tokens of a request that names none
}

// Cost is what a request costs that names so many tokens, in units; zero: it names none.
func (a *Allowance) Cost(tokens int64) float64 {
	switch {
	case !a.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(a.DefaultTokens)
	}
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is a whole version as operators wrote it.
type Declaration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is a declaration, indexed. It is immutable.
type Catalog struct {
	Declaration
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
	services map[string]*Service
	// isolated names the workspaces that share no KV cache, joined in order. What the
	// others share is void when this changes: a workspace that is isolated now may have
	// made some of it.
	isolated string
	// KVStores are the stores of kept KV cache.
	KVStores []*KVStore
}

// New indexes a declaration.
func New(d Declaration) *Catalog {
	c := &Catalog{
		Declaration: d, byHost: map[string][]*Route{}, byKey: map[string]*Workspace{}, services: map[string]*Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
		if kv := d.Services[i].KVStore; kv != nil {
			c.KVStores = append(c.KVStores, kv)
		}
	}
	var isolated []string
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, k := range w.Keys {
			c.byKey[k] = w
		}
		if w.Isolated {
			isolated = append(isolated, string(w.Name))
		}
	}
	slices.Sort(isolated)
	c.isolated = strings.Join(isolated, ",")
	return c
}

// Match returns the route of a request: of the host's routes the one with the
// longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresAPIKey tells whether requests need an API key at all.
func (c *Catalog) RequiresAPIKey() bool { return len(c.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds an API key, or nil.
func (c *Catalog) WorkspaceOf(key string) *Workspace { return c.byKey[key] }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// KVStoreOf returns the store that keeps the KV cache of a prefix: of those that are
// usable the one with the highest rendezvous weight, so that all VMs agree and the
// stores share the load. Nil: there is none.
func (c *Catalog) KVStoreOf(prefix uint64, usable func(addr string) bool) *KVStore {
	var best *KVStore
	bestWeight := uint64(0)
	for _, kv := range c.KVStores {
		if w := xxh3.HashStringSeed(kv.Addr, prefix); usable(kv.Addr) && (best == nil || w > bestWeight) {
			best, bestWeight = kv, w
		}
	}
	return best
}

// Pick returns the service of a request by the route's weights; point is any
// number, equally distributed.
func (r *Route) Pick(point uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	at := int(point % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[0].Service
}
