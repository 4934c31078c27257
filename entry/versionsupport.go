package entry

import "medlaryard.example/medlaryard/shard"

// versionSupport is the number of shards that can serve an index version.
type versionSupport struct {
	version   indexVersion
	shards    int
	lastShard int // Index of the shard counted last, so that no shard counts twice.
}

func (v versionSupport) betterThan(other versionSupport) bool {
	if v.shards != other.shards {
		return v.shards > other.shards
	}
	if v.version.snapshot != other.version.snapshot {
		return v.version.snapshot > other.version.snapshot
	}
	if v.version.mapID != other.version.mapID {
		return v.version.mapID > other.version.mapID
	}
	return v.version.total > other.version.total
}

// countSupport adds the labels of one group of a shard to support. It counts each
// shard once per version. There are few versions, so a scan is faster than a map.
func countSupport(support []versionSupport, labels []shard.Label, shardIndex int, exclude []indexVersion) []versionSupport {
next:
	for _, label := range labels {
		version := indexVersionOf(label)
		for _, excluded := range exclude {
			if excluded == version {
				continue next
			}
		}
		for j := range support {
			if support[j].version == version {
				if support[j].lastShard != shardIndex {
					support[j].shards, support[j].lastShard = support[j].shards+1, shardIndex
				}
				continue next
			}
		}
		support = append(support, versionSupport{version: version, shards: 1, lastShard: shardIndex})
	}
	return support
}
