package fleet

import (
	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

const (
	// maxPacketBytes bounds a datagram, so that it is not fragmented on links with
	// an MTU of 1,280 bytes. A fragmented datagram is lost with any of its parts.
	maxPacketBytes = 1200
	// maxRoundBytes bounds the evidence of moves that one recipient gets in a
	// round. That of 1,000 moves takes about 50 KB and is sent within 2 s.
	maxRoundBytes = 10 << 10
)

// Details is what a daemon tells others beyond its own state.
type Details struct {
	blocks []*mirrorpb.Heartbeat
	moves  []*mirrorpb.MoveEvidence
}

// NewDetails returns details. Each block is a heartbeat without its sender's
// state and takes less than 900 bytes; it is not divided. The evidence of moves
// may take any size.
func NewDetails(blocks []*mirrorpb.Heartbeat, moves []*mirrorpb.MoveEvidence) Details {
	return Details{blocks: blocks, moves: moves}
}

// packer divides details among datagrams. Each datagram is a heartbeat of its
// own, so that a daemon of an earlier version understands it.
type packer struct {
	nextMove int // Index of the first evidence of the next round.
}

// pack returns the datagrams of one round, at least one. The evidence of moves
// beyond maxRoundBytes follows in the next rounds, in turn.
func (p *packer) pack(core *mirrorpb.Heartbeat, d Details) []*mirrorpb.Heartbeat {
	b := packets{core: core, coreSize: proto.Size(core)}
	b.open()
	for _, block := range d.blocks {
		b.add(block)
	}
	if p.nextMove >= len(d.moves) {
		p.nextMove = 0
	}
	budget := maxRoundBytes
	for range d.moves {
		block := &mirrorpb.Heartbeat{Moves: d.moves[p.nextMove : p.nextMove+1]}
		if budget -= proto.Size(block); budget < 0 {
			break
		}
		b.add(block)
		p.nextMove = (p.nextMove + 1) % len(d.moves)
	}
	return b.all
}

// packets is a sequence of datagrams of which the last one is being filled.
type packets struct {
	core     *mirrorpb.Heartbeat
	coreSize int
	all      []*mirrorpb.Heartbeat
	size     int // Size of the last datagram in bytes.
}

func (b *packets) open() {
	b.all = append(b.all, proto.CloneOf(b.core))
	b.size = b.coreSize
}

// add adds a block to the last datagram, or to a further one if it does not fit.
func (b *packets) add(block *mirrorpb.Heartbeat) {
	n := proto.Size(block)
	if n == 0 {
		return
	}
	if b.size > b.coreSize && b.size+n > maxPacketBytes {
		b.open()
	}
	proto.Merge(b.all[len(b.all)-1], block)
	b.size += n
}
