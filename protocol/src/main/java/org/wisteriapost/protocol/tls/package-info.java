/**
 * TLS with key files from the settings, which can be replaced without a restart.
 */
package org.wisteriapost.protocol.tls;
