// Package restarts tests bounds of the whole fleet while all of its VMs, processes of
// galenasaild on loopback addresses, are killed and started again.
package restarts
