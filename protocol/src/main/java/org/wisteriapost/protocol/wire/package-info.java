/**
 * Generated from {@code src/main/proto/wire.proto} by {@code scripts/generate-wire}; committed so that the build needs no generator.
 */
package org.wisteriapost.protocol.wire;
