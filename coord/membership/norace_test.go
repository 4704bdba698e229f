//go:build !race

package membership

// largest is the largest number of machines that tests run with unless MEMBERSHIP_SIZE asks for more.
const largest = 400
