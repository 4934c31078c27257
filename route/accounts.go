package route

import "medlaryard.example/medlaryard/account"

// TableOption sets an optional property of a Table.
type TableOption func(*Table)

// Accounts sets the client accounts. Without them, requests need no key.
func Accounts(d *account.Directory) TableOption { return func(t *Table) { t.accounts = d } }

// Accounts returns the client accounts, or nil if requests need no key.
func (t *Table) Accounts() *account.Directory { return t.accounts }
