package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/threadwall/threadwall/internal/httphead"
)

// HTTP endpoints of the object API:
//
//	GET    /v1/objects?prefix=P                    list
//	GET    /v1/objects?prefix=P&after=R&wait=MS    watch
//	GET    /v1/object?key=K                        get
//	PUT    /v1/object?key=K[&version=V]            create, or update if at V
//	DELETE /v1/object?key=K&version=V              delete if at V
const (
	pathObjects = "/v1/objects"
	pathObject  = "/v1/object"
)

// watchWait is how long a watch waits on the server before the client repeats it.
const watchWait = 20 * time.Second

// listing is the body of list and watch responses.
type listing struct {
	Objects  []Object `json:"objects"`
	Revision Revision `json:"revision"`
}

// Budget limits a client's calls, in calls per second.
type Budget struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Client is a Store that calls the object API over HTTP. It fails calls beyond its
// budget with ErrOverBudget and does not send them. Safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	writes  *rate.Limiter
	reads   *rate.Limiter
	timeout time.Duration
}

var _ Store = (*Client)(nil)

// burstSeconds is how many seconds of budget may be spent at once.
const burstSeconds = 2

// NewClient returns a client of the API at base, e.g. "http://10.0.0.1:7000".
// timeout bounds each call; a watch may take watchWait longer.
func NewClient(base string, timeout time.Duration, b Budget) *Client {
	return &Client{
		base:    base,
		http:    &http.Client{Transport: httphead.Transport(&http.Transport{MaxIdleConnsPerHost: 16})},
		writes:  rate.NewLimiter(rate.Limit(b.WritesPerSecond), int(b.WritesPerSecond*burstSeconds)+1),
		reads:   rate.NewLimiter(rate.Limit(b.ReadsPerSecond), int(b.ReadsPerSecond*burstSeconds)+1),
		timeout: timeout,
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.read(ctx, pathObject+"?key="+url.QueryEscape(key), c.timeout, &o)
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, Revision, error) {
	var l listing
	err := c.read(ctx, pathObjects+"?prefix="+url.QueryEscape(prefix), c.timeout, &l)
	return l.Objects, l.Revision, err
}

// Watch implements Store. It waits for up to watchWait and ignores WithWait.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error) {
	var l listing
	path := fmt.Sprintf("%s?prefix=%s&after=%d&wait=%d", pathObjects, url.QueryEscape(prefix), after, watchWait.Milliseconds())
	err := c.read(ctx, path, watchWait+c.timeout, &l)
	return l.Objects, l.Revision, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Revision, error) {
	return c.write(ctx, http.MethodPut, pathObject+"?key="+url.QueryEscape(key), value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version Revision) (Revision, error) {
	return c.write(ctx, http.MethodPut, versioned(key, version), value)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version Revision) error {
	_, err := c.write(ctx, http.MethodDelete, versioned(key, version), nil)
	return err
}

func versioned(key string, v Revision) string {
	return pathObject + "?key=" + url.QueryEscape(key) + "&version=" + strconv.FormatUint(uint64(v), 10)
}

func (c *Client) read(ctx context.Context, path string, timeout time.Duration, into any) error {
	if !c.reads.Allow() {
		return ErrOverBudget
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	defer drain(resp.Body)
	if err := statusError(resp, ErrUnavailable); err != nil {
		return err
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return errors.Join(ErrUnavailable, eris.Wrapf(err, "read response of store %s", c.base))
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, path string, value []byte) (Revision, error) {
	if !c.writes.Allow() {
		return 0, ErrOverBudget
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, method, path, value)
	if err != nil {
		return 0, errors.Join(writeFailure(err), err)
	}
	defer drain(resp.Body)
	if err := statusError(resp, ErrAmbiguous); err != nil {
		return 0, err
	}
	var o Object
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		return 0, errors.Join(ErrAmbiguous, eris.Wrapf(err, "read response of store %s", c.base))
	}
	return o.Version, nil
}

func (c *Client) do(ctx context.Context, method, path string, value []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, eris.Wrap(err, "build store request")
	}
	resp, err := c.http.Do(req)
	return resp, eris.Wrapf(err, "%s at store %s", method, c.base)
}

// writeFailure returns ErrUnavailable if a failed write was certainly not sent, and
// ErrAmbiguous otherwise. Only a failed dial proves that it was not sent.
func writeFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrAmbiguous
}

// statusError maps an HTTP status to an error; undecided is the error for a status
// that does not show whether the request took effect.
func statusError(resp *http.Response, undecided error) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrExists
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable // refused before it was applied
	default:
		return eris.Wrapf(undecided, "status %d", resp.StatusCode)
	}
}

// maxDrain bounds the bytes read from the rest of a response body so that its
// connection can be reused.
const maxDrain = 64 << 10

func drain(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, maxDrain)
	_ = b.Close()
}

// Handler serves store over HTTP, for simulated platforms and tests.
func Handler(store Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathObjects, func(w http.ResponseWriter, r *http.Request) { serveList(store, w, r) })
	mux.HandleFunc("GET "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		o, err := store.Get(r.Context(), r.URL.Query().Get("key"))
		reply(w, o, err)
	})
	mux.HandleFunc("PUT "+pathObject, func(w http.ResponseWriter, r *http.Request) { servePut(store, w, r) })
	mux.HandleFunc("DELETE "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("key")
		reply(w, Object{Key: key}, store.Delete(r.Context(), key, versionOf(r)))
	})
	return mux
}

func serveList(store Store, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has("wait") {
		objects, rev, err := store.List(r.Context(), q.Get("prefix"))
		reply(w, listing{objects, rev}, err)
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	objects, rev, err := store.Watch(ctx, q.Get("prefix"), Revision(after))
	reply(w, listing{objects, rev}, err)
}

func servePut(store Store, w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := r.URL.Query().Get("key")
	var version Revision
	if v := versionOf(r); v == 0 {
		version, err = store.Create(r.Context(), key, value)
	} else {
		version, err = store.Update(r.Context(), key, value, v)
	}
	reply(w, Object{Key: key, Version: version}, err)
}

func versionOf(r *http.Request) Revision {
	v, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	return Revision(v)
}

func reply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrExists):
		return http.StatusConflict
	case errors.Is(err, ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, ErrCompacted):
		return http.StatusGone
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
