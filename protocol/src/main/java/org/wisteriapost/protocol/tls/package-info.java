/**
 * TLS from key files named in the settings, replaced without a restart.
 */
package org.wisteriapost.protocol.tls;
