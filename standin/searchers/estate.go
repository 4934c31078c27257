package searchers

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Estate describes the searchers of one process, in the YAML form that LoadEstate
// reads. Zero values select defaults.
type Estate struct {
	// Seed determines the corpus and all random choices.
	Seed      uint64      `yaml:"seed"`
	Documents int         `yaml:"documents"`
	Services  []Placement `yaml:"services"`
}

// Placement describes the searchers of one version of one service.
type Placement struct {
	Service string `yaml:"service"`
	Version string `yaml:"version"`
	// Shards is the number of shards. ShardName is the fmt format of their names,
	// with one verb for the index, such as s%02d.
	Shards    int    `yaml:"shards"`
	ShardName string `yaml:"shard_name"`
	Replicas  int    `yaml:"replicas"`
	// Domains are the failure domains, to which the replicas of a shard are
	// assigned in turn.
	Domains []string `yaml:"domains"`
	// Host is the IP address and Port the port of the first searcher, from which
	// the others count up; 0 selects free ports.
	Host        string         `yaml:"host"`
	Port        int            `yaml:"port"`
	Slots       int            `yaml:"slots"`
	Queue       int            `yaml:"queue"`
	Connections int            `yaml:"connections"`
	ConnectCost time.Duration  `yaml:"connect_cost"`
	ServiceTime time.Duration  `yaml:"service_time"`
	ColdLimit   int            `yaml:"cold_limit"`
	WarmAfter   int            `yaml:"warm_after"`
	ColdSheds   bool           `yaml:"cold_sheds"`
	StartCold   bool           `yaml:"start_cold"`
	RestartTime time.Duration  `yaml:"restart_time"`
	Snapshots   []HeldSnapshot `yaml:"snapshots"`
}

const (
	defaultDocuments = 2000
	defaultShardName = "s%02d"
	defaultHost      = "127.0.0.1"
	defaultDomain    = "domain-a"
	defaultVersion   = "v1"
)

// LoadEstate reads an Estate from a YAML file.
func LoadEstate(path string) (Estate, error) {
	var e Estate
	data, err := os.ReadFile(path)
	if err != nil {
		return e, err
	}
	if err := yaml.UnmarshalWithOptions(data, &e, yaml.Strict()); err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Corpus returns the corpus that all searchers of the estate serve.
func (e Estate) Corpus() *Corpus { return NewCorpus(e.Seed, valueOr(e.Documents, defaultDocuments)) }

// Configs returns one Config for each searcher. Seeds count up from e.Seed.
func (e Estate) Configs() []Config {
	var configs []Config
	for _, p := range e.Services {
		for _, c := range p.configs() {
			c.Seed = e.Seed + uint64(len(configs))
			configs = append(configs, c)
		}
	}
	return configs
}

func (p Placement) configs() []Config {
	shards, replicas := max(1, p.Shards), max(1, p.Replicas)
	domains := p.Domains
	if len(domains) == 0 {
		domains = []string{defaultDomain}
	}
	version := valueOr(p.Version, defaultVersion)
	var configs []Config
	for i := range shards {
		shard := fmt.Sprintf(valueOr(p.ShardName, defaultShardName), i)
		for j := range replicas {
			port := 0
			if p.Port > 0 {
				port = p.Port + len(configs)
			}
			configs = append(configs, Config{
				Name:    fmt.Sprintf("%s-%s-%s-%d", p.Service, version, shard, j),
				Service: p.Service,
				// The first replicas of consecutive shards are in different domains.
				Domain:      domains[(i+j)%len(domains)],
				Version:     version,
				Shard:       shard,
				Index:       i,
				Shards:      shards,
				Address:     fmt.Sprintf("%s:%d", valueOr(p.Host, defaultHost), port),
				Slots:       p.Slots,
				Queue:       p.Queue,
				Connections: p.Connections,
				ConnectCost: p.ConnectCost,
				ServiceTime: p.ServiceTime,
				ColdLimit:   p.ColdLimit,
				WarmAfter:   p.WarmAfter,
				ColdSheds:   p.ColdSheds,
				StartCold:   p.StartCold,
				RestartTime: p.RestartTime,
				Snapshots:   p.Snapshots,
			})
		}
	}
	return configs
}
