// Package partition injects network partitions into processes under test, in one direction or both.
//
// A file lists the partitioned links, one a line: the host that sends and the host that it sends to. A test
// writes the file, every process of the system polls it (see [Watch]), and connections that are opened with a
// [Dialer] obey it. The side that dials obeys both directions of its connections, so that the side that
// accepts needs nothing.
//
// Traffic over a partitioned link behaves as that of TCP over a network that loses every packet, with no
// notice to either side:
//
//   - Bytes wait until the link heals, like segments that are retransmitted. What was written before the
//     partition and not yet read is held back too.
//   - A connection whose bytes have waited for [UserTimeout] ends with ETIMEDOUT, as with TCP_USER_TIMEOUT.
//     Its other end learns of that when the link has healed.
//   - A close is seen by the other end only when the link has healed.
//   - No connection can be opened while one of its two links is partitioned.
//
// Only programs that are built with the tag faultinjection are linked with this package. They read where the
// file is from the environment: [EnvFile] and [EnvHost].
package partition
