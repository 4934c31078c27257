package daemon

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"medlaryard.example/medlaryard/settings"
)

const (
	// maxPeerConnections allows every daemon of a cell its connections.
	maxPeerConnections = 8192
	// maxOperatorConnections is enough for scrapers and people.
	maxOperatorConnections = 64
)

// listeners are the three addresses that a daemon serves.
type listeners struct {
	callers, peers, operators net.Listener
}

// listen opens all listeners or none.
func listen(cfg settings.Settings) (listeners, error) {
	var l listeners
	for _, s := range []struct {
		into    *net.Listener
		path    string
		address string
		limit   int
	}{
		{&l.peers, "peer.listen", cfg.PeerListen(), maxPeerConnections},
		{&l.operators, "operator.listen", cfg.OperatorListen(), maxOperatorConnections},
		// The callers' server has its own limit, which answers with a refusal.
		{&l.callers, "caller.listen", cfg.CallerListen(), 0},
	} {
		opened, err := net.Listen("tcp", s.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrap(err, s.path)
		}
		if s.limit > 0 {
			opened = netutil.LimitListener(opened, s.limit)
		}
		*s.into = opened
	}
	return l, nil
}

func (l listeners) close() {
	for _, x := range []net.Listener{l.callers, l.peers, l.operators} {
		if x != nil {
			_ = x.Close()
		}
	}
}
