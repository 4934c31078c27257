package daemon

import (
	"net"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/settings"
)

const (
	// maxPeerConnections leaves room for the connections of every daemon of a cell.
	maxPeerConnections = 8192
	// maxOperatorConnections leaves room for metrics scrapers and operators.
	maxOperatorConnections = 64
	// maxOperatorBody bounds the bodies of operators' requests, which have none.
	maxOperatorBody = 64 << 10
)

// listeners holds the three listeners of a daemon.
type listeners struct {
	callers, peers, operators net.Listener
}

// listen opens all listeners. If one fails, it closes the others.
func listen(cfg settings.Settings) (listeners, error) {
	var l listeners
	for _, s := range []struct {
		listener *net.Listener
		path     string
		address  string
	}{
		{&l.peers, "peer.listen", cfg.PeerListen()},
		{&l.operators, "operator.listen", cfg.OperatorListen()},
		{&l.callers, "caller.listen", cfg.CallerListen()},
	} {
		opened, err := net.Listen("tcp", s.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrap(err, s.path)
		}
		*s.listener = opened
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
