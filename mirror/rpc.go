package mirror

import (
	"compress/gzip"
	"context"
	"net/http"

	"github.com/klauspost/compress/gzhttp"
	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// minCompressed is the size in bytes from which answers are compressed; smaller
// ones fit one packet.
const minCompressed = 1400

// Handler serves the changes of m to neighbours. All daemons that start need the
// whole copy at once, so that the link of the first one that has it would be
// full; compressed answers take about a fifth.
func Handler(m *Mirror) (http.Handler, error) {
	compressed, err := gzhttp.NewWrapper(gzhttp.MinSize(minCompressed), gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		return nil, eris.Wrap(err, "compression of answers to neighbours")
	}
	return compressed(mirrorpb.NewMirrorServer(service{m})), nil
}

type service struct{ mirror *Mirror }

// Changes implements the rpc.
func (s service) Changes(_ context.Context, r *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	reply := &mirrorpb.ChangesReply{}
	for _, c := range s.mirror.Since(r.GetVersions()) {
		kc := &mirrorpb.KindChanges{Kind: c.kind, Version: c.version, Full: c.full}
		for _, e := range c.events {
			kc.Events = append(kc.Events, &mirrorpb.Event{
				Name: e.object.name, Revision: e.object.revision, Spec: e.object.spec,
				Status: e.object.status, Deleted: e.deleted,
			})
		}
		reply.Kinds = append(reply.Kinds, kc)
	}
	return reply, nil
}

// Fetch brings m up to date from the neighbour at address.
func Fetch(ctx context.Context, client *http.Client, address string, m *Mirror) error {
	c := mirrorpb.NewMirrorProtobufClient("http://"+address, client)
	reply, err := c.Changes(ctx, &mirrorpb.ChangesRequest{Versions: m.Versions()})
	if err != nil {
		return err
	}
	var all []Changes
	for _, kc := range reply.GetKinds() {
		ch := Changes{kind: kc.GetKind(), version: kc.GetVersion(), full: kc.GetFull()}
		for _, e := range kc.GetEvents() {
			o := NewObject(e.GetName(), e.GetRevision(), e.GetSpec(), e.GetStatus())
			ch.events = append(ch.events, NewEvent(o, e.GetDeleted()))
		}
		all = append(all, ch)
	}
	m.Merge(all)
	return nil
}
