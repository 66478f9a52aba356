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

// The chunks of a full copy are compressed: entries of replicas differ in a tenth of their bytes,
// and a starting fleet copies all of them to every VM. Each chunk is compressed once and cached
// until something changes, so that a VM that serves many others does not compress it for each.

// maxUnpackedBytes bounds the size of a decompressed chunk: a single object may be as long as a
// response.
const maxUnpackedBytes = maxResponseBytes

// packedChunks caches the compressed chunks of one state of a space by the key after which each
// begins.
type packedChunks struct {
	change uint64
	chunks map[string][]byte
}

// get returns the compressed form of a chunk, from the cache if it is there. The caller holds the space's lock.
func (p *packedChunks) get(u *update, change uint64) ([]byte, error) {
	if p.change != change || p.chunks == nil {
		p.change, p.chunks = change, map[string][]byte{}
	}
	if packed, ok := p.chunks[u.afterKey]; ok {
		return packed, nil
	}
	packed, err := pack(u.objects)
	if err == nil {
		p.chunks[u.afterKey] = packed
	}
	return packed, err
}

func pack(objects []objectapi.Object) ([]byte, error) {
	data, err := proto.Marshal(&mirrorpb.Objects{Objects: toProto(objects)})
	if err != nil {
		return nil, eris.Wrap(err, "encode a chunk")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress a chunk")
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	return out.Bytes(), eris.Wrap(err, "compress a chunk")
}

func unpack(packed []byte) ([]*mirrorpb.Object, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a chunk")
	}
	var objects mirrorpb.Objects
	err = proto.Unmarshal(data, &objects)
	return objects.Objects, eris.Wrap(err, "decode a chunk")
}

func toProto(objects []objectapi.Object) []*mirrorpb.Object {
	out := make([]*mirrorpb.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &mirrorpb.Object{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted})
	}
	return out
}
