package node

import (
	"medlaryard.example/medlaryard/account"
	"medlaryard.example/medlaryard/meter"
)

// maxLoggedFaults bounds the log lines about the accounts of one configuration.
const maxLoggedFaults = 20

// logAccounts logs the faults in the accounts of a configuration that takes
// effect. The directory is nil if the configuration has no accounts.
func (d *Daemon) logAccounts(version uint64, dir *account.Directory) {
	if dir == nil {
		return
	}
	faults := dir.Faults()
	for i, f := range faults {
		if i == maxLoggedFaults {
			d.log.Warn().Uint64("configuration", version).Int("faults", len(faults)-i).Msg("further faults in the accounts are not logged")
			break
		}
		d.log.Warn().Uint64("configuration", version).Err(f).Msg("fault in the accounts; the rest of the configuration is in force")
	}
	d.log.Info().Uint64("configuration", version).Int("accounts", len(dir.Accounts())).Int("keys", dir.Keys()).
		Int("shared_keys", dir.Conflicts()).Msg("accounts in force")
}

var accountGauges = []string{"accounts.known", "accounts.keys", "accounts.shared_keys", "accounts.faults"}

// updateAccountGauges sets the gauges of the accounts in force. Without accounts
// there are none.
func updateAccountGauges(dir *account.Directory) {
	if dir == nil {
		for _, name := range accountGauges {
			meter.Unregister(name)
		}
		return
	}
	meter.Gauge("accounts.known", int64(len(dir.Accounts())))
	meter.Gauge("accounts.keys", int64(dir.Keys()))
	meter.Gauge("accounts.shared_keys", int64(dir.Conflicts()))
	meter.Gauge("accounts.faults", int64(len(dir.Faults())))
}
