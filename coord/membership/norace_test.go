//go:build !race

package membership

// maxMachines is the largest number of machines that tests run with, unless MEMBERSHIP_SIZE adds a larger one.
const maxMachines = 400
