package peer

import (
	"net/http"
	"path"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	// readAllocation is how many times its size is allocated to read a message into a
	// buffer that grows, as the generated server does.
	readAllocation = 5
	// messageBytes bounds the memory of one message without its strings and lists. The
	// largest is a result of a relay.
	messageBytes = 320
	// elementBytes bounds the memory of an element of a list that grows, or of a string
	// without its bytes.
	elementBytes = 96
)

// decodingAllocation returns a bound of what is allocated to decode the body of a call.
// An empty message takes two bytes encoded, so that its size alone is no bound.
func decodingAllocation(r *http.Request, body []byte) int {
	service := peerpb.File_peer_peerpb_peer_proto.Services().ByName("Peer")
	method := service.Methods().ByName(protoreflect.Name(path.Base(r.URL.Path)))
	if method == nil {
		return 0 // It is refused before its body is read.
	}
	return readAllocation*len(body) + decodedSize(method.Input(), body)
}

// decodedSize returns a bound of the memory that a message takes when it is decoded, or
// its part before the first malformed field.
func decodedSize(md protoreflect.MessageDescriptor, b []byte) int {
	size := messageBytes
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			break
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(number, kind, b); n < 0 {
			break
		}
		size += elementBytes + n + n/8 // Sizes of allocations are rounded up.
		if fd := md.Fields().ByNumber(number); fd != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(b) // It was consumed above.
			switch fd.Kind() {
			case protoreflect.MessageKind, protoreflect.GroupKind:
				size += decodedSize(fd.Message(), value)
			case protoreflect.StringKind, protoreflect.BytesKind:
			default:
				size += elementBytes * len(value) // A packed list of numbers.
			}
		}
		b = b[n:]
	}
	return size
}
