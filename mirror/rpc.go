package mirror

import (
	"compress/gzip"
	"context"
	"net/http"

	"github.com/klauspost/compress/gzhttp"
	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// minCompressedBytes is the minimum size of a compressed response. Smaller ones
// fit into one packet.
const minCompressedBytes = 1400

// Handler returns a handler that serves the changes of m to peers. Daemons that
// start at the same time all need the whole copy, which would saturate the link
// of the first daemon that has it. Compression reduces responses to about a
// fifth.
func Handler(m *Mirror) (http.Handler, error) {
	wrapper, err := gzhttp.NewWrapper(gzhttp.MinSize(minCompressedBytes), gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		return nil, eris.Wrap(err, "configure compression of peer responses")
	}
	return wrapper(mirrorpb.NewMirrorServer(rpcService{m})), nil
}

type rpcService struct{ mirror *Mirror }

// Changes implements the Changes method of the Mirror service.
func (s rpcService) Changes(ctx context.Context, r *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	clientbudget.FromContext(ctx).NoteAllocated()
	reply := &mirrorpb.ChangesReply{}
	versions := NewVersions(r.GetEra(), r.GetVersions(), r.GetOlderEras())
	if r.Era == nil && !s.mirror.eras.wasRestored() {
		// The asker knows no eras, and nothing shows that its versions are of an
		// earlier one. All objects for each of its requests would be too much.
		versions = versions.assumeEra(s.mirror.Versions())
	}
	for _, c := range s.mirror.ChangesSince(versions) {
		kc := &mirrorpb.KindChanges{Kind: c.kind, Era: c.version.era, Version: c.version.revision, Full: c.full, MixedUntil: c.mixedUntil.revision, Unconfirmed: c.unconfirmed}
		for _, e := range c.events {
			kc.Events = append(kc.Events, &mirrorpb.Event{
				Name: e.object.name, Revision: e.object.revision, Spec: e.object.spec,
				Status: e.object.status, Deleted: e.deleted,
			})
		}
		for _, g := range c.gaps {
			kc.Gaps = append(kc.Gaps, &mirrorpb.VersionGap{After: g.after, Before: g.before})
		}
		reply.Kinds = append(reply.Kinds, kc)
	}
	return reply, nil
}

// Fetch requests the changes that m is missing from the peer at address and
// merges them.
func Fetch(ctx context.Context, client *http.Client, address string, m *Mirror) error {
	c := mirrorpb.NewMirrorProtobufClient("http://"+address, client)
	era := m.eras.Current()
	revisions, olderEras := m.completeVersions().Encode(era)
	reply, err := c.Changes(ctx, &mirrorpb.ChangesRequest{Era: &era, Versions: revisions, OlderEras: olderEras})
	if err != nil {
		return err
	}
	var changes []Changes
	for _, kc := range reply.GetKinds() {
		ch := Changes{kind: kc.GetKind(), version: NewPosition(kc.GetEra(), kc.GetVersion()), full: kc.GetFull(), unconfirmed: kc.GetUnconfirmed()}
		for _, e := range kc.GetEvents() {
			o := NewObject(e.GetName(), e.GetRevision(), e.GetSpec(), e.GetStatus())
			ch.events = append(ch.events, NewEvent(o, e.GetDeleted()))
		}
		for _, g := range kc.GetGaps() {
			ch.gaps = append(ch.gaps, logGap{g.GetAfter(), g.GetBefore()})
		}
		if until := kc.GetMixedUntil(); until > 0 {
			ch.mixedUntil = NewPosition(kc.GetEra(), until)
		}
		changes = append(changes, ch)
	}
	m.Merge(changes)
	return nil
}
