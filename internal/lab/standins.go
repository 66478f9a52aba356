package lab

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/settings"
)

// StandIns are the outside systems of one example, in this process.
type StandIns struct {
	Store    *FaultyStore
	StoreURL string
	Engines  map[string]*Engine
	Services map[string]*Service
	Records  []platform.Record
	// Network, if set, tells how a VM reaches the object API and how peers reach
	// it, given its settings.
	Network func(settings.Settings) (storeURL, peerAddr string)

	mu      sync.Mutex
	closed  bool
	served  []*Server
	crashes []time.Time
}

// serviceDelay is how long a stand-in service works on a call.
const serviceDelay = 2 * time.Millisecond

// StartOptions chooses what is started.
type StartOptions struct {
	// FixedPorts uses the example's addresses; otherwise free ports are taken.
	FixedPorts bool
	// StoreAddr is where the store listens with fixed ports.
	StoreAddr string
	// Domains limits the failure domains; empty is all.
	Domains []ids.FailureDomain
	Engine  EngineSpec
	// Only names the VMs to start, and "store" for the object API; empty is all.
	// With it, each part can be a process of its own.
	Only []string
	// CrashText is a text whose presence in a request's body crashes whatever runs it; a
	// crashed engine or service starts again after FatalRest as another incarnation, at
	// the same address. Empty: none.
	CrashText    string
	RestartDelay time.Duration
	// RunsFile is where services append the key of each call that ran.
	RunsFile string
}

// storeName stands for the object API in StartOptions.Only.
const storeName = "store"

func (o StartOptions) starts(name string) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, name)
}

// Start starts the store, engines and services of an example, lists them at the
// platform and applies the example's objects.
func Start(ctx context.Context, ex *Example, o StartOptions) (*StandIns, error) {
	s := &StandIns{Store: NewFaultyStore(objectapi.NewMemory()), Engines: map[string]*Engine{}, Services: map[string]*Service{}}
	storeAddr := "127.0.0.1:0"
	if o.FixedPorts {
		storeAddr = o.StoreAddr
	}
	if o.starts(storeName) {
		srv, err := Serve(storeAddr, s.Store.Handler())
		if err != nil {
			return nil, err
		}
		s.keep(srv)
		s.StoreURL = "http://" + srv.Addr
	}
	for _, r := range ex.VMs {
		if len(o.Domains) > 0 && !slices.Contains(o.Domains, r.FailureDomain) {
			continue
		}
		if err := s.startVM(r, o); err != nil {
			s.Close()
			return nil, err
		}
	}
	if !o.starts(storeName) {
		return s, nil
	}
	if err := s.publish(ctx); err != nil {
		s.Close()
		return nil, err
	}
	plan, err := apply.NewPlan(ctx, s.Store, ex.Objects)
	if err == nil {
		_, err = plan.Run(ctx, s.Store)
	}
	return s, err
}

func (s *StandIns) startVM(r platform.Record, o StartOptions) error {
	inc := ids.Incarnation(time.Now().UnixMilli())
	addr := "127.0.0.1:0"
	if o.FixedPorts {
		addr = r.Addr
	}
	if r.Role == platform.RoleEntry && !o.FixedPorts {
		return nil // whoever starts VMs at other addresses lists them
	}
	if !o.starts(r.ID) {
		r.Incarnation, r.Weights = 0, o.Engine.Weights // its own process tells its life
		s.Records = append(s.Records, r)
		return nil
	}
	var start func(inc ids.Incarnation) http.Handler
	switch r.Role {
	case platform.RoleEngine:
		spec := o.Engine
		spec.Model = r.Model
		e := NewEngine(spec, inc)
		s.Engines[r.ID] = e
		start = func(again ids.Incarnation) http.Handler {
			if again != inc {
				e = NewEngine(spec, again)
			}
			return e.Handler()
		}
	case platform.RoleService:
		svc := NewService(r.Service, inc, serviceDelay)
		svc.runsFile = o.RunsFile
		s.Services[r.ID] = svc
		start = func(again ids.Incarnation) http.Handler {
			if again != inc {
				svc = NewService(r.Service, again, serviceDelay)
			}
			return svc.Handler()
		}
	default:
		s.Records = append(s.Records, r)
		return nil
	}
	f := &fatal{text: o.CrashText, rest: o.RestartDelay, s: s, start: start}
	srv, err := f.serve(addr, inc)
	if err != nil {
		return err
	}
	s.keep(srv)
	r.Addr, r.Incarnation, r.State, r.Weights = srv.Addr, inc, platform.StateLive, o.Engine.Weights
	s.Records = append(s.Records, r)
	return nil
}

// publish writes the platform's list.
func (s *StandIns) publish(ctx context.Context) error {
	for _, r := range s.Records {
		if err := s.Put(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// Put writes one VM's record into the platform's list.
func (s *StandIns) Put(ctx context.Context, r platform.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	key := platform.Prefix + r.ID
	if old, err := s.Store.Get(ctx, key); err == nil {
		_, err = s.Store.Update(ctx, key, value, old.Version)
		return eris.Wrapf(err, "list %s", r.ID)
	}
	_, err = s.Store.Create(ctx, key, value)
	return eris.Wrapf(err, "list %s", r.ID)
}

// Runs returns how often each key ran, over all services.
func (s *StandIns) Runs() map[string]int {
	out := map[string]int{}
	for _, svc := range s.Services {
		for k, n := range svc.Runs() {
			out[k] += n
		}
	}
	return out
}

// Tokens returns prompt tokens and cached ones, over all engines.
func (s *StandIns) Tokens() (prompted, cached int64) {
	for _, e := range s.Engines {
		prompted += e.PromptTokens.Load()
		cached += e.CachedTokens.Load()
	}
	return prompted, cached
}

// Close ends all stand-ins.
func (s *StandIns) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, x := range s.served {
		x.Close()
	}
}

// keep notes what is to be closed in the end.
func (s *StandIns) keep(srv *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = append(s.served, srv)
	if s.closed {
		srv.Close()
	}
}

// CheckRuns returns how many keys ran more than once, and how many of those that
// callers were told ran did not, or the other way round.
func CheckRuns(runs map[string]int, res *Result) (doubled, untrue int) {
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	for _, k := range res.Booked {
		if runs[k] == 0 {
			untrue++
		}
	}
	for _, k := range res.NotRun {
		if runs[k] != 0 {
			untrue++
		}
	}
	return doubled, untrue
}
