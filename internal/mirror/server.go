package mirror

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/mirrorpb"
)

// Server answers peers from this VM's copies.
type Server struct {
	mirrorpb.UnimplementedMirrorServer
	Spaces   []*Space
	Notifier *Notifier // of the spaces
}

var _ mirrorpb.MirrorServer = (*Server)(nil)

// maxWait bounds how long a question waits for a change.
const maxWait = 2 * time.Second

// Read implements mirrorpb.MirrorServer.
func (s *Server) Read(ctx context.Context, r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for last := false; ; {
		changed := s.Notifier.wait() // before the look, so that no change falls between
		answer, err := s.look(r)
		if err != nil || last || hasObjects(answer) {
			return answer, err
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

// look answers from what is there now.
func (s *Server) look(r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	answer := &mirrorpb.ReadAnswer{}
	now := clock.Now()
	for _, p := range r.Have {
		space := s.space(p.Prefix)
		if space == nil {
			return nil, status.Errorf(codes.InvalidArgument, "there is no key space %q", p.Prefix)
		}
		n, ok := space.since(position{p.Copy, p.Change, p.Behind})
		if !ok {
			return nil, status.Errorf(codes.FailedPrecondition, "%s has not been read yet", p.Prefix)
		}
		answer.Parts = append(answer.Parts, part(p.Prefix, &n, now))
	}
	return answer, nil
}

func (s *Server) space(prefix string) *Space {
	for _, space := range s.Spaces {
		if space.Prefix == prefix {
			return space
		}
	}
	return nil
}

func part(prefix string, n *news, now time.Time) *mirrorpb.Part {
	p := &mirrorpb.Part{
		Prefix: prefix, Copy: n.to.copyID, Change: n.to.change, Revision: uint64(n.at.Revision), Whole: n.whole, More: n.more, Behind: n.behind, Regained: n.regained,
		AgeUs: microseconds(n.at.Sent, now), ContactUs: microseconds(n.at.Answered, now),
	}
	if p.Packed = n.packed; len(n.packed) == 0 {
		p.Objects = wire(n.objects)
	}
	return p
}

func hasObjects(a *mirrorpb.ReadAnswer) bool {
	for _, p := range a.Parts {
		if p.Whole || len(p.Objects) > 0 {
			return true
		}
	}
	return false
}
