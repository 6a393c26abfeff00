package entry

import (
	"net"

	"github.com/cockroachdb/errors"
)

// listen opens the listeners for clients and for other instances.
func (inst *Instance) listen() error {
	var err error
	if inst.security, err = NewPeerTLS(inst.Settings.TLS); err != nil {
		return err
	}
	inst.httpListener, err = net.Listen("tcp", inst.Settings.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "entry: unable to listen for clients")
	}
	inst.peerListener, err = net.Listen("tcp", inst.Settings.PeerAddress)
	if err != nil {
		_ = inst.httpListener.Close()
		return errors.Wrap(err, "entry: unable to listen for other instances")
	}
	return nil
}

// HTTPAddress returns the address on which the HTTP API listens.
func (inst *Instance) HTTPAddress() string {
	return inst.httpListener.Addr().String()
}

// PeerAddress returns the address on which the instance listens for other instances.
func (inst *Instance) PeerAddress() string {
	return inst.peerListener.Addr().String()
}
