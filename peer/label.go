package peer

import (
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/shard"
)

func labelToProto(l shard.Label) *peerpb.Label {
	return &peerpb.Label{
		Snapshot:  l.Snapshot(),
		Map:       l.Map(),
		Low:       l.Low(),
		High:      l.High(),
		Documents: l.Documents(),
		Total:     l.Total(),
	}
}

func labelFromProto(m *peerpb.Label) shard.Label {
	return shard.NewLabel(shard.LabelSpec{
		Snapshot:  m.GetSnapshot(),
		Map:       m.GetMap(),
		Low:       m.GetLow(),
		High:      m.GetHigh(),
		Documents: m.GetDocuments(),
		Total:     m.GetTotal(),
	})
}
