package usage

import (
	"context"
	"net/http"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/usage/usagepb"
)

// PathPrefix is the prefix of the paths that the handler serves.
const PathPrefix = usagepb.CountsPathPrefix

// Handler returns a handler that passes the updates of other daemons to merge.
func Handler(merge func(Source, Update)) http.Handler {
	return usagepb.NewCountsServer(rpcService{merge})
}

type rpcService struct{ merge func(Source, Update) }

// Send implements the Send method of the Counts service.
func (s rpcService) Send(ctx context.Context, r *usagepb.SendRequest) (*usagepb.SendReply, error) {
	clientbudget.FromContext(ctx).NoteAllocated()
	u := Update{Since: r.GetSince(), Confirmed: r.GetConfirmed(), Change: r.GetChange()}
	for _, w := range r.GetWindows() {
		for _, a := range w.GetAccounts() {
			u.Counts = append(u.Counts, Count{Window: w.GetWindow(), Account: a.GetAccount(), Count: a.GetCount(), Change: a.GetChange()})
		}
	}
	s.merge(Source{Daemon: r.GetSender(), Incarnation: r.GetIncarnation()}, u)
	return &usagepb.SendReply{}, nil
}

// Send passes an update of a source to the daemon at address.
func Send(ctx context.Context, client *http.Client, address string, from Source, u Update) error {
	_, err := usagepb.NewCountsProtobufClient("http://"+address, client).Send(ctx, encodeUpdate(from, u))
	return err
}

func encodeUpdate(from Source, u Update) *usagepb.SendRequest {
	r := &usagepb.SendRequest{
		Sender: from.Daemon, Incarnation: from.Incarnation, Since: u.Since, Confirmed: u.Confirmed, Change: u.Change,
	}
	byWindow := make(map[int64]*usagepb.WindowCounts)
	for _, c := range u.Counts {
		w := byWindow[c.Window]
		if w == nil {
			w = &usagepb.WindowCounts{Window: c.Window}
			byWindow[c.Window] = w
			r.Windows = append(r.Windows, w)
		}
		w.Accounts = append(w.Accounts, &usagepb.AccountCount{Account: c.Account, Count: c.Count, Change: c.Change})
	}
	return r
}
