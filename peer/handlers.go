package peer

import (
	"context"

	"github.com/twitchtv/twirp"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Handlers contains one function per RPC. The server answers a call of an RPC
// without a function with the Twirp error unimplemented.
type Handlers struct {
	Relay     func(context.Context, *peerpb.RelayRequest) (*peerpb.RelayReply, error)
	Heartbeat func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Sync      func(context.Context, *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Release   func(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
	Outcome   func(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error)
	Strike    func(context.Context, *peerpb.StrikeRequest) (*peerpb.StrikeReply, error)
	Report    func(context.Context, *peerpb.ReportRequest) (*peerpb.ReportReply, error)
}

// service implements the generated interface peerpb.Peer with Handlers.
type service struct{ h Handlers }

func (s service) Relay(ctx context.Context, in *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	return callHandler(ctx, s.h.Relay, in)
}

func (s service) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return callHandler(ctx, s.h.Heartbeat, in)
}

func (s service) Sync(ctx context.Context, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return callHandler(ctx, s.h.Sync, in)
}

func (s service) Release(ctx context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return callHandler(ctx, s.h.Release, in)
}

func (s service) Outcome(ctx context.Context, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return callHandler(ctx, s.h.Outcome, in)
}

func (s service) Strike(ctx context.Context, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return callHandler(ctx, s.h.Strike, in)
}

func (s service) Report(ctx context.Context, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return callHandler(ctx, s.h.Report, in)
}

// callHandler calls f with a decoded message, or returns an error if f is nil.
func callHandler[Q, R any](ctx context.Context, f func(context.Context, Q) (R, error), in Q) (R, error) {
	clientbudget.FromContext(ctx).NoteAllocated()
	if f == nil {
		var zero R
		return zero, twirp.NewError(twirp.Unimplemented, "daemon has no handler for the RPC")
	}
	return f(ctx, in)
}
