package news

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/demand"
)

// packedReport is a report as a byte string, of less than half the size that it has as CBOR: a VM of a
// fleet without a tree receives one from each peer. It contains, with all integers big-endian:
//
//	services    number (1 byte), then 4 bytes each
//	routes      number (1 byte), then each: index of the service (1 byte), route (4 bytes), sums
//	workspaces  number (1 byte), then each: index of the service (1 byte), workspace (4 bytes), sums
//
// A sum is the upper half of a float32, rounded: within 0.4%.
type packedReport demand.Report

// maxPacked bounds the services, the routes and the workspaces of a packed report.
const maxPacked = math.MaxUint8

var errMalformedDemand = eris.New("decode a report of demand: it is malformed")

// MarshalCBOR implements cbor.Marshaler.
func (r packedReport) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.pack()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *packedReport) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := cbor.Unmarshal(data, &packed); err != nil {
		return err
	}
	p, ok := unpack(packed)
	if !ok {
		return errMalformedDemand
	}
	*r = p
	return nil
}

func (r packedReport) pack() []byte {
	routes, workspaces := r.Routes[:min(len(r.Routes), maxPacked)], r.Workspaces[:min(len(r.Workspaces), maxPacked)]
	var services []uint32
	index := func(service uint32) byte {
		i := slices.Index(services, service)
		if i < 0 && len(services) < maxPacked {
			i, services = len(services), append(services, service)
		}
		return byte(i)
	}
	var body []byte
	body = append(body, byte(len(routes)))
	for i := range routes {
		body = append(body, index(routes[i].Service))
		body = binary.BigEndian.AppendUint32(body, routes[i].Route)
		for _, sum := range routeSums(&routes[i]) {
			body = appendSum(body, *sum)
		}
	}
	body = append(body, byte(len(workspaces)))
	for i := range workspaces {
		body = append(body, index(workspaces[i].Service))
		body = binary.BigEndian.AppendUint32(body, workspaces[i].Workspace)
		body = appendSum(appendSum(body, workspaces[i].Offered), workspaces[i].Admitted)
	}
	out := []byte{byte(len(services))}
	for _, s := range services {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return append(out, body...)
}

// unpack is the inverse of pack; false: the report is malformed.
func unpack(packed []byte) (packedReport, bool) {
	in := unpacker{rest: packed}
	services := make([]uint32, in.uint8())
	for i := range services {
		services[i] = in.uint32()
	}
	service := func() uint32 {
		i := in.uint8()
		if i >= len(services) {
			in.failed = true
			return 0
		}
		return services[i]
	}
	var out packedReport
	for range in.uint8() {
		s := demand.RouteSums{Service: service(), Route: in.uint32()}
		for _, sum := range routeSums(&s) {
			*sum = in.sum()
		}
		out.Routes = append(out.Routes, s)
	}
	for range in.uint8() {
		out.Workspaces = append(out.Workspaces, demand.WorkspaceSums{Service: service(), Workspace: in.uint32(), Offered: in.sum(), Admitted: in.sum()})
	}
	return out, !in.failed && len(in.rest) == 0
}

// routeSums returns the sums of a route in the order in which reports have them.
func routeSums(s *demand.RouteSums) [10]*float32 {
	return [10]*float32{&s.Calls, &s.Admitted, &s.Refused, &s.Work, &s.Begun, &s.Predicted, &s.Measured, &s.Streaming, &s.Late, &s.Paused}
}

func appendSum(b []byte, sum float32) []byte {
	return binary.BigEndian.AppendUint16(b, uint16((math.Float32bits(sum)+1<<15)>>16))
}

// unpacker reads a packed report. After the end of the input it returns zeros and sets failed.
type unpacker struct {
	rest   []byte
	failed bool
}

func (u *unpacker) next(n int) []byte {
	if len(u.rest) < n {
		u.rest, u.failed = nil, true
		return make([]byte, n)
	}
	out := u.rest[:n]
	u.rest = u.rest[n:]
	return out
}

func (u *unpacker) uint8() int     { return int(u.next(1)[0]) }
func (u *unpacker) uint32() uint32 { return binary.BigEndian.Uint32(u.next(4)) }
func (u *unpacker) sum() float32 {
	return math.Float32frombits(uint32(binary.BigEndian.Uint16(u.next(2))) << 16)
}
