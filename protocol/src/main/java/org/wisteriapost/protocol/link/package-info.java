/**
 * Connections between wisteriapost processes, which exchange protobuf frames over Netty.
 */
package org.wisteriapost.protocol.link;
