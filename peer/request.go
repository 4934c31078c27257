package peer

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// MaxItems is the maximum number of sub-requests or results in a message.
const MaxItems = 4096

const (
	maxNameBytes = 512   // Limit for an identifier, owner, class, service, route, shard or group.
	maxHits      = 10000 // Maximum number of hits in a result.
)

// RelayRequest returns the message for reqs, which belong to one query and differ
// only in shard and group. now is a reading of clock.Clock.Boot. The message
// contains the time from now to the deadline instead of the deadline, because VMs
// boot at different times.
func RelayRequest(reqs []shard.Request, now time.Duration, generation, epoch uint64) *peerpb.RelayRequest {
	if len(reqs) == 0 {
		return &peerpb.RelayRequest{Generation: generation, Epoch: epoch}
	}
	r := reqs[0]
	out := &peerpb.RelayRequest{
		Id:          r.ID(),
		Owner:       r.Owner(),
		Class:       string(r.Class()),
		Service:     r.Service(),
		Route:       r.Route(),
		Snapshot:    r.Snapshot(),
		Limit:       uint32(max(0, r.Limit())),
		RemainingUs: (r.Deadline() - now).Microseconds(),
		Idempotent:  r.Idempotent(),
		Suspect:     r.Suspect(),
		Acting:      r.Acting(),
		Fingerprint: r.Fingerprint(),
		Body:        r.Body(),
		Generation:  generation,
		Epoch:       epoch,
		Items:       make([]*peerpb.RelayItem, 0, len(reqs)),
	}
	for _, r := range reqs {
		out.Items = append(out.Items, &peerpb.RelayItem{Group: r.Group(), Shard: r.Shard()})
	}
	return out
}

// Requests returns the sub-requests in a message that was received at now, a
// reading of clock.Clock.Boot. It returns a refusal of kind refusal.Malformed if
// the message is invalid or exceeds a limit, and of kind refusal.Deadline if its
// deadline has passed.
func Requests(in *peerpb.RelayRequest, now time.Duration) ([]shard.Request, error) {
	if err := checkRequest(in); err != nil {
		return nil, err
	}
	reqs := make([]shard.Request, 0, len(in.Items))
	for _, it := range in.Items {
		if it == nil || len(it.Group) > maxNameBytes || len(it.Shard) > maxNameBytes {
			return nil, refusal.New(refusal.Malformed, "relay item is missing or has a group or shard of more than %d bytes", maxNameBytes)
		}
		reqs = append(reqs, shard.NewRequest(shard.RequestSpec{
			ID:          in.Id,
			Owner:       in.Owner,
			Class:       catalogue.Class(in.Class),
			Service:     in.Service,
			Shard:       it.Shard,
			Group:       it.Group,
			Route:       in.Route,
			Snapshot:    in.Snapshot,
			Limit:       int(in.Limit),
			Deadline:    now + time.Duration(in.RemainingUs)*time.Microsecond,
			Idempotent:  in.Idempotent,
			Fingerprint: in.Fingerprint,
			Suspect:     in.Suspect,
			Acting:      in.Acting,
			Body:        in.Body,
		}))
	}
	return reqs, nil
}

func checkRequest(in *peerpb.RelayRequest) error {
	const maxRemaining = time.Hour
	for _, s := range []string{in.Id, in.Owner, in.Class, in.Service, in.Route} {
		if len(s) > maxNameBytes {
			return refusal.New(refusal.Malformed, "relay request has a field of %d bytes, the limit is %d", len(s), maxNameBytes)
		}
	}
	switch {
	case len(in.Items) > MaxItems:
		return refusal.New(refusal.Malformed, "relay request has %d items, the limit is %d", len(in.Items), MaxItems)
	case in.Limit > maxHits:
		return refusal.New(refusal.Malformed, "relay request asks for %d hits, the limit is %d", in.Limit, maxHits)
	case !catalogue.Class(in.Class).Valid():
		return refusal.New(refusal.Malformed, "relay request has invalid class %q", in.Class)
	case in.RemainingUs <= 0:
		return refusal.New(refusal.Deadline, "relay request arrived after its deadline").WithRan(refusal.NotRun)
	case in.RemainingUs > maxRemaining.Microseconds():
		return refusal.New(refusal.Malformed, "relay request has %d us until its deadline, the limit is %v", in.RemainingUs, maxRemaining)
	}
	return nil
}
