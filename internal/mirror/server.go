package mirror

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/mirrorpb"
)

// Server serves this VM's copies to peers. Its fields are set before the first call.
type Server struct {
	mirrorpb.UnimplementedMirrorServer
	Spaces   []*Space
	Notifier *Notifier // shared with the spaces
	// Assisted reports whether this VM itself reads from a peer because the store does not answer it. Nil: it
	// never does.
	Assisted func() bool
}

var _ mirrorpb.MirrorServer = (*Server)(nil)

// maxWait bounds how long a read waits for a change.
const maxWait = 2 * time.Second

// Read implements mirrorpb.MirrorServer. It waits for a change if there is nothing new. The status
// is FailedPrecondition if this VM has not read a key space yet, InvalidArgument if it does not
// know one, and Aborted if the store does not answer it and it reads from a peer itself.
func (s *Server) Read(ctx context.Context, r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	if s.Assisted != nil && s.Assisted() {
		return nil, status.Error(codes.Aborted, "the store does not answer this VM")
	}
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for last := false; ; {
		changed := s.Notifier.wait() // before the snapshot, so that no change is missed
		resp, err := s.snapshot(r)
		if err != nil || last || hasObjects(resp) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// snapshot returns what changed up to now, without waiting.
func (s *Server) snapshot(r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	resp := &mirrorpb.ReadAnswer{}
	now := clock.Now()
	for _, p := range r.Have {
		space := s.space(p.Prefix)
		if space == nil {
			return nil, status.Errorf(codes.InvalidArgument, "unknown key space %q", p.Prefix)
		}
		u, ok := space.since(position{p.Copy, p.Change, p.Behind})
		if !ok {
			return nil, status.Errorf(codes.FailedPrecondition, "key space %q has not been read yet", p.Prefix)
		}
		resp.Parts = append(resp.Parts, part(p.Prefix, &u, now))
	}
	return resp, nil
}

func (s *Server) space(prefix string) *Space {
	for _, space := range s.Spaces {
		if space.Prefix == prefix {
			return space
		}
	}
	return nil
}

func part(prefix string, u *update, now time.Time) *mirrorpb.Part {
	p := &mirrorpb.Part{
		Prefix: prefix, Copy: u.to.copyID, Change: u.to.change, Revision: uint64(u.at.Revision), Whole: u.full, More: u.more, Behind: u.afterKey, Regained: u.regained,
		AgeUs: microseconds(u.at.Sent, now), ContactUs: microseconds(u.at.Answered, now),
	}
	if !u.at.EraSince.IsZero() {
		p.EraAgeUs = max(microseconds(u.at.EraSince, now), 1) // zero has another meaning
	}
	if u.regained {
		p.RegainedAgeUs = max(microseconds(u.regainedAt, now), 1)
	}
	if p.Packed = u.packed; len(u.packed) == 0 {
		p.Objects = toProto(u.objects)
	}
	return p
}

func hasObjects(resp *mirrorpb.ReadAnswer) bool {
	for _, p := range resp.Parts {
		if p.Whole || len(p.Objects) > 0 {
			return true
		}
	}
	return false
}
