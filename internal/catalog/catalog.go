// Package catalog holds what operators declare for opaque requests: routes by
// host and path prefix, services, API keys and limits.
//
// A Catalog is one version of that declaration, immutable and indexed for the
// request path. Each request uses one Catalog from start to end. Current holds the
// version in force, which never decreases, and the proof of its freshness: an API key
// is valid only while the proof is recent enough.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// Kind determines whether requests on a route may be repeated.
type Kind uint8

// The kinds. The zero value allows the least.
const (
	// Once marks requests that may run at most once.
	Once Kind = iota
	// Idempotent marks requests that may run again after any failure.
	Idempotent
	// Stream marks requests whose response is a series of numbered events. They may
	// run at most once unless the route is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// Share gives a service a share of a route's traffic, proportional to its weight.
type Share struct {
	Service string
	Weight  int
}

// Route declares where requests to a host and path prefix are sent, and under which rules.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller waits; zero: unlimited
	Objective   time.Duration // latency up to which a response is on time
	MaxEventGap time.Duration // longest gap between two events that still counts as on time
	Priority    int           // 0 is the highest
	Split       []Share
	Attempts    int  // most replicas on which one request may run
	Public      bool // needs no API key
	Prompts     bool // requests describe a prompt by levels
	Resumable   bool // a stream may continue on another replica after its last event
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of replicas to which routes send requests.
type Service struct {
	Name     string
	MaxConns int // connections that one replica accepts from all callers together; zero: unknown
	Engine   *Engine
	KVStore  *KVStore
}

// Engine describes the replicas of a service that serve models.
type Engine struct {
	Slots         int   // most requests in a batch
	CacheTokens   int64 // capacity of the KV cache
	FeedReaders   int   // most concurrent readers of one replica's cache feed
	BytesPerToken int64 // of KV cache
}

// KVStore is a store outside the engines that holds KV cache.
type KVStore struct {
	Addr          string
	FailureDomain ids.FailureDomain
	CacheTokens   int64 // capacity
	FeedReaders   int   // most concurrent readers of the store's cache feed
}

// Workspace is one tenant.
type Workspace struct {
	Name     ids.Workspace
	Keys     []string
	Priority *int // overrides the route's priority; nil: the route's applies
	Isolated bool // shares no KV cache with other workspaces
	// Allowance is the limit over all VMs together.
	Allowance Allowance
}

// Allowance limits what a workspace may use over all VMs together.
type Allowance struct {
	Rate          float64 // units/s; zero, with Burst also zero: no limit
	Burst         float64 // units that may be used at once, beyond the rate
	Tokens        bool    // units are tokens; false: requests
	DefaultTokens int64   // cost of a request that declares no number of tokens
}

// Cost returns the cost of a request in units. tokens is the number of tokens that the request
// declares; zero: it declares none.
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

// Declaration is one version as operators declared it.
type Declaration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is an indexed declaration. It is immutable.
type Catalog struct {
	Declaration
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
	services map[string]*Service
	// isolated is the sorted list of the workspaces that share no KV cache. When it changes,
	// the KV cache that the others share must not be used any more: a workspace that is
	// isolated now may have created some of it.
	isolated string
	// KVStores are the KV stores of all services.
	KVStores []*KVStore
}

// New indexes a declaration. The caller must not change it afterwards.
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

// Match returns the route of a request, or nil: of the routes of the host, the one with
// the longest prefix of the path. It ignores case and port of the host.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresAPIKey reports whether requests to routes that are not public need an API key.
func (c *Catalog) RequiresAPIKey() bool { return len(c.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds an API key, or nil.
func (c *Catalog) WorkspaceOf(key string) *Workspace { return c.byKey[key] }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// KVStoreOf returns the store for the KV cache of a prefix, or nil if none is usable: of
// the usable stores, the one with the highest rendezvous weight, so that all VMs agree
// and the load is spread over the stores.
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

// Pick returns the service of a request according to the weights of the route's Split, the
// first service if no weight is positive, or "" if Split is empty. point must be uniformly
// distributed.
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
	remaining := int(point % uint64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[0].Service
}
