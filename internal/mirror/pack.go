package mirror

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// A piece of a whole copy is compressed: entries of replicas differ in a tenth of their bytes, and
// a fleet that starts copies all of them to every VM. Each piece is compressed once and kept as
// long as nothing changes, so that a reader of many VMs does not do it anew for each.

// unpackedMost bounds what a packed piece may unpack to, in bytes: a single object may be as long
// as an answer.
const unpackedMost = maxAnswer

// packs are the packed pieces of one state of a space, by where they begin.
type packs struct {
	change uint64
	pieces map[string][]byte
}

// of returns the packed form of a piece. The space's lock is held.
func (p *packs) of(n *news, change uint64) ([]byte, error) {
	if p.change != change || p.pieces == nil {
		p.change, p.pieces = change, map[string][]byte{}
	}
	if packed, ok := p.pieces[n.behind]; ok {
		return packed, nil
	}
	packed, err := pack(n.objects)
	if err == nil {
		p.pieces[n.behind] = packed
	}
	return packed, err
}

func pack(objects []objectapi.Object) ([]byte, error) {
	data, err := proto.Marshal(&mirrorpb.Objects{Objects: wire(objects)})
	if err != nil {
		return nil, eris.Wrap(err, "encode a piece")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress a piece")
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	return out.Bytes(), eris.Wrap(err, "compress a piece")
}

func unpack(packed []byte) ([]*mirrorpb.Object, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedMost))
	if err != nil {
		return nil, eris.Wrap(err, "unpack a piece")
	}
	var objects mirrorpb.Objects
	err = proto.Unmarshal(data, &objects)
	return objects.Objects, eris.Wrap(err, "decode a piece")
}

func wire(objects []objectapi.Object) []*mirrorpb.Object {
	out := make([]*mirrorpb.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &mirrorpb.Object{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted})
	}
	return out
}
