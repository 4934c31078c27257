package mirror

import (
	"compress/gzip"
	"context"
	"net/http"

	"github.com/klauspost/compress/gzhttp"
	"github.com/rotisserie/eris"

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
func (s rpcService) Changes(_ context.Context, r *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	reply := &mirrorpb.ChangesReply{}
	for _, c := range s.mirror.ChangesSince(r.GetVersions()) {
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

// Fetch requests the changes that m is missing from the peer at address and
// merges them.
func Fetch(ctx context.Context, client *http.Client, address string, m *Mirror) error {
	c := mirrorpb.NewMirrorProtobufClient("http://"+address, client)
	reply, err := c.Changes(ctx, &mirrorpb.ChangesRequest{Versions: m.Versions()})
	if err != nil {
		return err
	}
	var changes []Changes
	for _, kc := range reply.GetKinds() {
		ch := Changes{kind: kc.GetKind(), version: kc.GetVersion(), full: kc.GetFull()}
		for _, e := range kc.GetEvents() {
			o := NewObject(e.GetName(), e.GetRevision(), e.GetSpec(), e.GetStatus())
			ch.events = append(ch.events, NewEvent(o, e.GetDeleted()))
		}
		changes = append(changes, ch)
	}
	m.Merge(changes)
	return nil
}
