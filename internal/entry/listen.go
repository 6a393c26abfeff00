package entry

import (
	"net"

	"github.com/cockroachdb/errors"
)

func (n *Instance) listen() error {
	var err error
	if n.security, err = NewPeerTLS(n.Settings.TLS); err != nil {
		return err
	}
	n.httpListener, err = net.Listen("tcp", n.Settings.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "entry: unable to listen for callers")
	}
	n.peerListener, err = net.Listen("tcp", n.Settings.PeerAddress)
	if err != nil {
		_ = n.httpListener.Close()
		return errors.Wrap(err, "entry: unable to listen for other instances")
	}
	return nil
}

// HTTPAddress returns the address of the HTTP API.
func (n *Instance) HTTPAddress() string {
	return n.httpListener.Addr().String()
}

// PeerAddress returns the address for other instances.
func (n *Instance) PeerAddress() string {
	return n.peerListener.Addr().String()
}
