package lab

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/settings"
)

// StandIns are the simulated external systems of one example, in this process.
type StandIns struct {
	Store    *FaultyStore
	StoreURL string
	Engines  map[string]*Engine  // by VM ID; the first incarnations
	Services map[string]*Service // by VM ID; the first incarnations
	Records  []platform.Record
	// Network, if set, returns the addresses at which a VM with the given settings reaches
	// the object API and at which peers reach the VM.
	Network func(settings.Settings) (storeURL, peerAddr string)

	mu      sync.Mutex
	closed  bool
	servers []*Server
	crashes []time.Time
}

// serviceDelay is the time that a stand-in service works on a call.
const serviceDelay = 2 * time.Millisecond

// StartOptions selects the stand-ins to start.
type StartOptions struct {
	// FixedPorts uses the addresses of the example instead of free ports.
	FixedPorts bool
	// StoreAddr is the object API's address, ip:port, if FixedPorts is set.
	StoreAddr string
	// Domains lists the failure domains to start; empty: all.
	Domains []ids.FailureDomain
	// Engine configures all engines; its Model is ignored, since the example sets it.
	Engine EngineSpec
	// Only lists the VMs to start, and "store" for the object API; empty: all. It allows
	// each stand-in to run in its own process.
	Only []string
	// CrashText is a text that crashes the engine or service that receives it in a
	// request's body. After RestartDelay the engine or service restarts as a new
	// incarnation at the same address. Empty: no crashes.
	CrashText    string
	RestartDelay time.Duration
	// OnCall, if set, may respond to calls of all engines in place of the default response.
	OnCall func(w http.ResponseWriter, r *http.Request) bool
	// RunsFile is the file to which services append the key of each executed call; empty: none.
	RunsFile string
}

// storeName is the name of the object API in StartOptions.Only.
const storeName = "store"

func (o StartOptions) starts(name string) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, name)
}

// interpose returns an engine's handler before which OnCall comes.
func (o StartOptions) interpose(engine http.Handler) http.Handler {
	if o.OnCall == nil {
		return engine
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") || !o.OnCall(w, r) {
			engine.ServeHTTP(w, r)
		}
	})
}

// Start starts the object API, engines and services of an example, adds the VMs to the
// platform's list and applies the example's objects.
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
		s.track(srv)
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

// startVM starts the engine or service of a VM's record, if o selects it, and keeps the record
// with the address and incarnation for publish. It starts no entry VM.
func (s *StandIns) startVM(r platform.Record, o StartOptions) error {
	inc := ids.Incarnation(time.Now().UnixMilli())
	addr := "127.0.0.1:0"
	if o.FixedPorts {
		addr = r.Addr
	}
	if r.Role == platform.RoleEntry && !o.FixedPorts {
		return nil // the code that starts VMs at other addresses adds them to the list
	}
	if !o.starts(r.ID) {
		r.Incarnation, r.Weights = 0, o.Engine.Weights // the VM's own process reports its incarnation
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
		start = func(current ids.Incarnation) http.Handler {
			if current != inc {
				e = NewEngine(spec, current)
			}
			return o.interpose(e.Handler())
		}
	case platform.RoleService:
		svc := NewService(r.Service, inc, serviceDelay)
		svc.runsFile = o.RunsFile
		s.Services[r.ID] = svc
		start = func(current ids.Incarnation) http.Handler {
			if current != inc {
				svc = NewService(r.Service, current, serviceDelay)
			}
			return svc.Handler()
		}
	default:
		s.Records = append(s.Records, r)
		return nil
	}
	f := &crashable{crashText: o.CrashText, restartDelay: o.RestartDelay, standIns: s, start: start}
	srv, err := f.serve(addr, inc)
	if err != nil {
		return err
	}
	s.track(srv)
	r.Addr, r.Incarnation, r.State, r.Weights = srv.Addr, inc, platform.StateLive, o.Engine.Weights
	s.Records = append(s.Records, r)
	return nil
}

// publish writes all records to the platform's list of VMs.
func (s *StandIns) publish(ctx context.Context) error {
	for _, r := range s.Records {
		if err := s.Put(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// Put creates or updates one VM's record in the platform's list.
func (s *StandIns) Put(ctx context.Context, r platform.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	key := platform.Prefix + r.ID
	if old, err := s.Store.Get(ctx, key); err == nil {
		_, err = s.Store.Update(ctx, key, value, old.Version)
		return eris.Wrapf(err, "update the platform's record of VM %s", r.ID)
	}
	_, err = s.Store.Create(ctx, key, value)
	return eris.Wrapf(err, "create the platform's record of VM %s", r.ID)
}

// Runs returns the number of runs by idempotency key over all services.
func (s *StandIns) Runs() map[string]int {
	out := map[string]int{}
	for _, svc := range s.Services {
		for k, n := range svc.Runs() {
			out[k] += n
		}
	}
	return out
}

// Tokens returns the prompt tokens over all engines and how many of them were cached.
func (s *StandIns) Tokens() (prompted, cached int64) {
	for _, e := range s.Engines {
		prompted += e.PromptTokens.Load()
		cached += e.CachedTokens.Load()
	}
	return prompted, cached
}

// Close stops all stand-ins.
func (s *StandIns) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, x := range s.servers {
		x.Close()
	}
}

// track adds a server for Close to stop, or stops it if Close has run.
func (s *StandIns) track(srv *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, srv)
	if s.closed {
		srv.Close()
	}
}

// CheckRuns returns the number of keys that ran more than once, and the number of keys whose
// reported outcome (ran or not run) contradicts runs.
func CheckRuns(runs map[string]int, res *Result) (duplicates, misreported int) {
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	for _, k := range res.Booked {
		if runs[k] == 0 {
			misreported++
		}
	}
	for _, k := range res.NotRun {
		if runs[k] != 0 {
			misreported++
		}
	}
	return duplicates, misreported
}
