package protosize

import (
	"net/http"
	"path"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// readAllocation is how many times its size is allocated to read a message into a
	// buffer that grows, as generated servers do.
	readAllocation = 5
	// messageBytes bounds the memory of one message without its strings and lists. The
	// largest is a result of a relay.
	messageBytes = 320
	// elementBytes bounds the memory of an element of a list that grows, or of a string
	// without its bytes.
	elementBytes = 96
)

// OfCall returns a bound of what is allocated to read and decode the body of a Twirp call
// in bytes, or 0 if there is no such method.
func OfCall(r *http.Request, body []byte) int {
	dir, method := path.Split(r.URL.Path)
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(path.Base(dir)))
	if err != nil {
		return 0
	}
	service, ok := d.(protoreflect.ServiceDescriptor)
	if !ok {
		return 0
	}
	m := service.Methods().ByName(protoreflect.Name(method))
	if m == nil {
		return 0
	}
	return readAllocation*len(body) + decodedSize(m.Input(), body)
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
